Feature: The replicated log keeps its promises under any faults

  Scenario: A thousand seeded runs break no promise
    When seeds 1 to 1000 run
    Then no run breaks a promise
    And together they had at least 2000 terms and 10000 committed entries

  Scenario: A state machine of faults breaks no promise
    Then the hypothesis state machine finds nothing

  Scenario: A leader that keeps the members by itself breaks no promise
    When seeds 1 to 400 run with members that are kept
    Then no run breaks a promise

  Scenario: A leader with entries on their way still hands its lead over
    When 40 calm clusters have their leader resign just after a proposal
    Then each has another leader within 200 ms

  Scenario Outline: The checks find a defect in the program
    When runs with the defect "<defect>" start at seed 1
    Then one of the first 12 runs breaks "<promise>"
    And the same runs without the defect break nothing

    Examples:
      | defect                 | promise                |
      | acknowledge_early      | committed entries stay |
      | wiped_keeps_name       | committed entries stay |
      | apply_doubles          | applied at             |
      | lease from its arrival | is fresh at            |
      | votes despite a leader | leases of two leaders  |
      | votes twice a term     | any promise            |
      | leases forgotten       | is fresh at            |
