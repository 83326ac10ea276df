Feature: Programs that get signals answer what they have read, and end

  # Guards against an entry that lives on after SIGTERM, until it is killed.
  Scenario: An entry that could not listen for its callers is stopped
    Given an entry at an address that another process has
    When it gets "SIGTERM"
    Then it ends with code 0 within 6 seconds

  # Guards against the same for any error of a stop.
  Scenario: A program raises an error while it stops
    Given a program whose stop raises an error
    When the program is told to stop
    Then its reactor is stopped

  # Guards against a report or a manifest that is cut off by the stop of a core machine.
  Scenario: A core machine is stopped while a request arrives in two parts
    Given three core machines that know one another
    When a core machine that does not lead gets the two parts before and after its stop
    Then the request has got an answer
    And it ends with code 0 within 6 seconds

  Scenario: An entry gets signals in series while callers hold connections
    Given three core machines that know one another
    And 12 connections on which callers use an entry all the time
    When it gets other seeds and "SIGHUP SIGHUP", and is stopped by "SIGTERM SIGHUP SIGTERM"
    Then it ends with code 0 within 6 seconds
    And no request of its callers ended without an answer

  # Guards against a program that a changed settings file ends while it starts.
  Scenario: An entry gets SIGHUP while it loads its program
    Given three core machines that know one another
    When an entry starts, and gets SIGHUP again and again once it accepts connections
    Then it starts

  # Guards against 504 and against answers that never come, at a planned change of leaders.
  Scenario: The leader is stopped while callers submit jobs
    Given three core machines that know one another
    And 8 connections on which callers submit jobs to an entry all the time
    When the leader is stopped, and 2 seconds pass
    Then each of these jobs was accepted within 2 seconds
