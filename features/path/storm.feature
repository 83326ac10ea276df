Feature: Every invariant holds while entries, proposals and targets are lost

  Scenario Outline: A storm over five entries in virtual time
    Then a storm with seed <seed> breaks no invariant

    Examples:
      | seed |
      | 11   |
      | 12   |
      | 13   |

  Scenario: A team with fewer permits than entries is served at each of them
    Then a calm run with seed 2 refuses no call
