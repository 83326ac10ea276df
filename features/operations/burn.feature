Feature: Operators see what spends each service's error budget

  Background:
    Given pool "interior" with 2 hosts of 4 processors
    And team "dispatch" exists
    And service "plans" in the state with a success share of 0.9 and 100 ms

  Scenario Outline: A call with <run>, <code> after <seconds> s while host-1 is <phase> counts as <cause>
    Given host "host-1" is "<phase>"
    When a call with "<run>" and "<code>" is observed after <seconds> s
    Then it counts as "<cause>"

    Examples:
      | run     | code          | seconds | phase     | cause       |
      | ran     | ok            | 0.05    | serving   | good        |
      | ran     | ok            | 0.2     | serving   | late        |
      | not-run | overloaded    | 0.01    | serving   | refused     |
      | not-run | overloaded    | 0.01    | draining  | maintenance |
      | not-run | overloaded    | 0.01    | lost      | loss        |
      | not-run | deadline      | 0.2     | serving   | late        |
      | unknown | target-failed | 0.01    | rebooting | unknown     |
      | not-run | bad-request   | 0.01    | lost      | nothing     |
      | not-run | limit         | 0.01    | serving   | nothing     |

  Scenario: The budget and the burn are those of the objective
    When 95 good and 5 refused calls are observed in the last minute
    Then the burn over 5 minutes is 0.5 and half of the budget is left

  Scenario Outline: An alert needs a long and a short window: <long> and <short>
    When a burn of <long> over 1 hour and <short> over 5 minutes is seen
    Then the alert is "<word>"

    Examples:
      | long | short | word |
      | 15   | 15    | page |
      | 15   | 0     |      |
      | 1    | 15    |      |

  Scenario: Daemons add up, and a daemon that answers twice counts once
    When two daemons report 90 good and 10 lost each, one of them twice
    Then the fleet has 180 good and 20 lost calls

  Scenario: Downsampling old counts keeps their sum
    When 1 call is observed each minute for 4 days
    Then all 5760 calls are in at most 220 buckets
    And the calls of the last 5 minutes and of the one under way are 6

  Scenario: The number of series is bounded
    When calls of 2000 teams are observed
    Then all 2000 calls are in at most 301 series

  Scenario: Counts survive a restart
    Given counts in a data folder
    When the daemon's accounting is opened again
    Then the counts are the same

  Scenario Outline: A write that fails at <step> leaves the old counts intact
    Given counts in a data folder
    When a further call is saved and the write fails at "<step>"
    And the daemon's accounting is opened again
    Then the counts are the same

    Examples:
      | step    |
      | fsync   |
      | replace |

  Scenario: A damaged counts file is renamed and logged
    Given counts in a data folder
    When a byte of the file is changed
    And the daemon's accounting is opened again
    Then there are no counts, the file is kept as "burn.damaged" and an error is logged
