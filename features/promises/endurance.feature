Feature: What must always hold, with real daemons under load and random faults

  Scenario Outline: No promise is broken while daemons are killed, frozen and cut off
    When three voters and four learners serve 24 callers for 25 seconds with seed <seed>
    Then no promise is broken
    And at least 200 calls were answered and 10 jobs done
    And at least 5 faults were brought about
    And a host was rebooted in a wave

    Examples:
      | seed |
      | 1    |
      | 2    |
