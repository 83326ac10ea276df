Feature: Every host is due once in eight weeks

  Scenario: Pools take their turns through the cycle
    Given 21 pools with 5 hosts each
    Then in 49 days each pool's hosts fall due once, on at most 1 pool a day

  Scenario: A host that missed its pool's turn is due before its cycle ends
    Given 21 pools with 5 hosts each
    When the turn of pool 3 passes without host "host-3-0"
    Then host "host-3-0" stays due, and is done before it is overdue

  Scenario Outline: The leader starts the waves that are due, where it may
    Given a fleet of 2 pools with 3 services on 6 hosts each
    When the calendar is <setting> and the leader looks twice
    Then <count> waves have started

    Examples:
      | setting | count |
      | on      | 3     |
      | off     | 0     |
