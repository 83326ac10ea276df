Feature: The replicated log keeps its invariants under random faults

  Scenario: A thousand seeded runs violate no invariant
    When seeds 1 to 1000 run
    Then no run violates an invariant
    And together they had at least 2000 terms and 10000 committed entries

  Scenario: A state machine of faults violates no invariant
    Then the hypothesis state machine finds nothing

  Scenario: Automatic membership changes violate no invariant
    When seeds 1 to 400 run with automatic membership
    Then no run violates an invariant

  Scenario: A resigning leader with uncommitted entries is replaced quickly
    When 40 fault-free clusters have their leader resign just after a proposal
    Then each has another leader within 200 ms

  Scenario Outline: The checks find a defect in the program
    When runs with the defect "<defect>" start at seed 1
    Then one of the first 12 runs violates "<invariant>"
    And the same runs without the defect violate nothing

    Examples:
      | defect                 | invariant              |
      | acknowledge_early      | committed entries stay |
      | wiped_keeps_name       | committed entries stay |
      | apply_doubles          | applied at             |
      | lease from its arrival | is fresh at            |
      | votes despite a leader | leases of two leaders  |
      | votes twice a term     | any invariant          |
      | leases forgotten       | is fresh at            |
