Feature: The replicated log keeps its promises under any faults

  Scenario: A thousand seeded runs break no promise
    When seeds 1 to 1000 run
    Then no run breaks a promise
    And together they had at least 2000 terms and 10000 committed entries

  Scenario: A state machine of faults breaks no promise
    Then the hypothesis state machine finds nothing

  Scenario Outline: The checks find a defect in the program
    When runs with the defect "<defect>" start at seed <seed>
    Then one of the first 12 runs breaks "<promise>"

    Examples:
      | defect                 | seed | promise                |
      | acknowledge_early      | 180  | committed entries stay |
      | wiped_keeps_name       | 20   | log matching           |
      | apply_doubles          | 1    | applied at             |
      | lease from its arrival | 1    | is fresh at            |
      | votes despite a leader | 40   | leases of two leaders  |
      | votes twice a term     | 20   | term 4: c and a        |
      | leases forgotten       | 1    | is fresh at            |
