Feature: The replicated log keeps its promises under any faults

  Scenario: A thousand seeded runs break no promise
    When seeds 1 to 1000 run
    Then no run breaks a promise
    And together they had at least 2000 terms and 10000 committed entries

  Scenario: A state machine of faults breaks no promise
    Then the hypothesis state machine finds nothing

  Scenario Outline: The checks find a defect in the program
    When runs with the defect "<defect>" start at seed 1
    Then one of the first <runs> runs breaks "<promise>"

    Examples:
      | defect                 | runs | promise                |
      | acknowledge_early      | 100  | committed entries stay |
      | wiped_keeps_name       | 200  | committed entries stay |
      | apply_doubles          | 10   | applied at             |
      | lease from its arrival | 100  | is fresh at            |
      | votes despite a leader | 100  | leases of two leaders  |
      | votes twice a term     | 100  | term                   |
      | leases forgotten       | 10   | is fresh at            |
