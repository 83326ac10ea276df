Feature: Every host is due once in eight weeks

  Scenario: Pools take their turns through the cycle
    Given 21 pools with 5 hosts each
    Then in 49 days each pool's hosts fall due once, on at most 1 pool a day

  Scenario: A host that missed its pool's turn is due before its cycle ends
    Given 21 pools with 5 hosts each
    When the turn of pool 3 passes without host "host-3-0"
    Then host "host-3-0" stays due, and is done before it is overdue
