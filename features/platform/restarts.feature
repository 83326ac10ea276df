Feature: What was meant for a target's former process doesn't touch the next one

  The leader's orders take the platform's HTTP client to targets in virtual time that
  start again under their names, at their addresses, with new clocks.

  # Guards against two runs of a task: a start for the former process is executed by the
  # next one, and the leader counts it as lost.
  Scenario Outline: Starts are ordered on a target that starts again and <connections>, and the leader <change>
    Given a target and another one, behind connections
    When the target starts again and <connections>
    And 6 tasks of 3000 ms are ordered on it, and the leader <change>
    And the next process reports itself after 0.5 seconds
    Then no task runs twice or again, and the job ends within 20 seconds

    Examples:
      | connections      | change                       |
      | resets them      | stays                        |
      | resets them      | is replaced                  |
      | resets them      | is killed                    |
      | resets them      | loses and regains its lease  |
      | resets them      | stands still and is replaced |
      | leaves them open | stays                        |
      | leaves them open | is replaced                  |
      | leaves them open | is killed                    |
      | leaves them open | loses and regains its lease  |
      | leaves them open | stands still and is replaced |

  # Guards against ends as done that are read after their task was started again.
  Scenario Outline: Short tasks are ordered on a target that starts again, and the leader <change>
    Given a target and another one, behind connections
    When the target starts again and leaves them open
    And 6 tasks of 50 ms are ordered on it, and the leader <change>
    And the next process reports itself after 1.5 seconds
    Then no task runs twice or again, and the job ends within 20 seconds

    Examples:
      | change                       |
      | stays                        |
      | is replaced                  |
      | is killed                    |
      | loses and regains its lease  |
      | stands still and is replaced |

  # Guards against ends as done that the next process forgets, by numbers of the former
  # one, before anybody has read them.
  Scenario Outline: A renewal with the last end of the former process is due, and the leader <change>
    Given a target and another one, behind connections
    And the leader has read 8 ends of the target
    When the target starts again and leaves them open
    And 6 tasks of 50 ms are ordered on it, and once some ends are forgotten the leader <change>
    And the next process reports itself after 1.5 seconds
    Then no task runs twice or again, and the job ends within 20 seconds

    Examples:
      | change                       |
      | stays                        |
      | is replaced                  |
      | is killed                    |
      | loses and regains its lease  |
      | stands still and is replaced |

  # Guards against leases that end later than the leader counts: a renewal or a refused
  # start for the former process extends that of the next one by a higher clock.
  Scenario Outline: A target starts again, <connections> and <refuses>, it is cut off, and the leader <change>
    Given a target and another one, behind connections
    When the target starts again and <connections>
    And a start and a renewal are due for the former process, the next one <refuses>, and the leader <change>
    And the next process reports itself, begins a task of 20000 ms, and is cut off
    Then no task runs twice or again within 10 seconds
    And its lease has ended when the leader expected it

    Examples:
      | connections      | refuses              | change                       |
      | resets them      | is busy              | stays                        |
      | resets them      | is busy              | is replaced                  |
      | resets them      | is busy              | is killed                    |
      | resets them      | is busy              | loses and regains its lease  |
      | resets them      | is busy              | stands still and is replaced |
      | leaves them open | has no room          | stays                        |
      | leaves them open | has no room          | is replaced                  |
      | leaves them open | has no room          | is killed                    |
      | leaves them open | has no room          | loses and regains its lease  |
      | leaves them open | has no room          | stands still and is replaced |

  # Guards against a process that is taken for ended by what is said of its former one.
  Scenario Outline: <message> arrives once the next process has begun tasks
    Given a target and another one, behind connections
    When 6 tasks of 1000 ms are ordered on it, and the leader stays
    And the target starts again and resets them
    And the next process reports itself and begins 6 tasks of 6000 ms, and the leader <change>
    And <message> arrives, and the target is cut off for 2 seconds
    Then the next process is still recorded
    And no task runs twice or again, and the job ends within 20 seconds

    Examples:
      | message                                     | change      |
      | a report of the former process              | stays       |
      | a report of the former process              | is replaced |
      | a draining report of the former process     | stays       |
      | a draining report of the former process     | is replaced |
      | a report without a start                    | stays       |
      | a report without a start                    | is replaced |
      | a leave of the former process               | stays       |
      | a leave of the former process               | is replaced |
      | a leave without a start                     | stays       |
      | a leave without a start                     | is replaced |
      | a list of hosts as it was before            | stays       |
      | a list of hosts as it was before            | is replaced |

  # Guards against the same in the course of a day, with orders of all kinds under way.
  Scenario Outline: Days on which targets start again and are cut off, and <trouble>
    When days with restarts and cuts beside <trouble> are simulated over connections
    Then no invariant is violated on these days, and every job ends

    Examples:
      | trouble     |
      | new leader  |
      | lost lease  |
      | crash       |
      | cut targets |
      | late orders |

  # Guards against orders without an answer that the next process executes seconds later.
  Scenario: The next process of a name executes late orders for the former one
    When days on which the next process executes late orders are simulated
    Then no invariant is violated on these days, and every job ends
