Feature: Longest deadline of the calls that may still run

  Scenario Outline: Versions in force within the longest deadline count
    Given a service whose versions had deadlines of <deadlines> ms, accepted at <seconds> s
    When it is <now> s
    Then a call may still run for <longest> ms

    Examples:
      | deadlines    | seconds    | now | longest |
      | 4000         | 0          | 10  | 4000    |
      | 9000, 4000   | 0, 100     | 110 | 9000    |
      | 9000, 4000   | 0, 100     | 219 | 9000    |
      | 9000, 4000   | 0, 100     | 221 | 4000    |
      | 4000, 9000   | 0, 100     | 110 | 9000    |
      | 9000, 100, 4 | 0, 100, 101 | 222 | 4      |

  Scenario: A removed service counts with the longest allowed deadline
    Given a service whose versions had deadlines of 4000 ms, accepted at 0 s
    When it is removed at 200 s
    Then a call may still run for 120000 ms
    When it is 321 s
    Then a call may still run for 0 ms

  Scenario: Versions no longer stored count with the longest allowed deadline
    Given a service with 25 versions of 4000 ms, one a second
    Then a call may still run for 120000 ms
    When it is 200 s
    Then a call may still run for 4000 ms
