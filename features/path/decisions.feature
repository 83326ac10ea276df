Feature: The decisions on capacity, retries and targets keep their bounds

  Scenario Outline: A property of a decision
    Then "<property>" holds for random values with seed 7

    Examples:
      | property                                                  |
      | max-min gives everything out and nobody too much          |
      | max-min is fair by weight                                 |
      | a plan of loans never exceeds the capacity                |
      | a plan of loans leaves nothing free while one is short    |
      | a plan of loans changes nothing once all have their share |
      | a plan of loans asks back only what others are short of   |
      | retries stay within their share of the calls              |
      | a call that may have run is not repeated unless it may be |
      | ejection leaves half of a pool                            |
      | an ejected target comes back by one trial                 |
      | turns follow the shares of busy teams                     |
      | a burst does not hold up another team                     |
      | a call waits no longer than its deadline                  |
      | kept answers stay within their room and age               |
