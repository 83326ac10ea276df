Feature: Waves and repair under random failures, operators and leaders

  Scenario Outline: No budget is broken, no permit is used twice, and waves end
    Given random actions with seed <seed>
    Then every check holds after each step and the waves end once all is healed

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |
      | 104  |
      | 105  |
