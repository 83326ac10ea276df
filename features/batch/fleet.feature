Feature: The scheduler keeps its promises on a fleet in virtual time

  The fleet plays the users' sheets: queues whose demand comes in turns, sizes drawn
  from wide spreads, estimates that are off. A witness at the targets checks each start
  and each end.

  Scenario Outline: A calm day breaks no promise
    When a calm day of "<site>" is played with seeds 1 to 2
    Then no promise is broken
    And nothing is started where a target is about to leave
    And no member of a gang waits for others in vain
    And every job that can be done has ended

    Examples:
      | site   |
      | falaj  |
      | yayla  |
      | shared |

  Scenario Outline: A day with <trouble> breaks no promise
    When a day of each site with <trouble> is played, twice on each day
    Then no promise is broken
    And every job that can be done has ended
    And no wave had more hosts down than allowed, and each is complete

    Examples:
      | trouble                   |
      | crash                     |
      | lost rack                 |
      | cut targets               |
      | late orders               |
      | new leader                |
      | drain                     |
      | failing target            |
      | hanging target            |
      | slow targets              |
      | wave                      |
      | lost answers of the cloud |
      | silent cloud              |
      | cancelled jobs            |

  Scenario Outline: Fillers, served tasks, gangs and advice under <trouble>
    When a day of "shared" with <trouble> is played, twice on the day
    Then no promise is broken
    And every job that can be done has ended

    Examples:
      | trouble        |
      | crash          |
      | cut targets    |
      | late orders    |
      | new leader     |
      | drain          |
      | wave           |
      | silent advisor |

  Scenario: Jobs that take far longer than they declare come to their end
    When days with underestimated jobs are played
    Then no promise is broken
    And every job that can be done has ended

  Scenario: A wave comes to its end though a host is lost during its upkeep
    When a day of each site with a wave and a host lost in upkeep is played
    Then no promise is broken
    And every job that can be done has ended
    And no wave had more hosts down than allowed, and each is complete

  Scenario Outline: A wave of half of the hosts ends in time though few may be down
    When days of "<site>" are played with a wave of which few hosts may be down at once
    Then no promise is broken
    And no wave had more hosts down than allowed, and each is complete
    And each wave has ended in its time

    Examples:
      | site  |
      | falaj |
      | yayla |

  Scenario Outline: A wave keeps its limit while the time of day jumps
    When a day of "<site>" is played with a wave and a clock jump <gap> seconds after
    Then no promise is broken
    And no wave had more hosts down than allowed, and each is complete

    Examples:
      | site  | gap |
      | falaj | 0.3 |
      | falaj | 1.0 |
      | yayla | 1.0 |
      | yayla | 3.0 |

  Scenario Outline: A leader that leads again goes on with what it had begun
    When days of "<site>" are played on which the lead changes four times
    Then no promise is broken
    And every job that can be done has ended
    And the leader knows the pool of each host
    And nothing is started where a target is about to leave

    Examples:
      | site   |
      | shared |
      | falaj  |

  Scenario: The witness finds fillers that nobody slows down
    When a busy day of "shared" is played without "pacing"
    Then a promise is broken

  Scenario: Steps of a guarded queue start with a ticket only
    When a calm day of "shared" is played without "tickets"
    Then a job never ends

  Scenario: Days with three troubles at once break no promise
    When 6 days with three troubles each are played
    Then no promise is broken
    And every job that can be done has ended
    And no wave had more hosts down than allowed, and each is complete

  Scenario: The witness finds a scheduler that counts no capacity
    When a calm day of "yayla" is played with targets that seem to hold more
    Then a promise is broken

  Scenario: The witness finds a scheduler that forgets what a silent target runs
    When a day with cut targets is played without waiting for their leases
    Then a promise is broken
