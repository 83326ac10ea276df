Feature: The scheduler keeps its invariants on a simulated fleet in virtual time

  The workload follows the users' specifications: demand that shifts between queues, job
  sizes drawn from wide distributions, and inaccurate estimates. A checker at the targets
  verifies each start and each end.

  Scenario Outline: A day without faults violates no invariant
    When a fault-free day of "<site>" is simulated with seeds 1 to 2
    Then no invariant is violated
    And no run is started on an incarnation that has ended
    And no gang member waits for missing members
    And every job that can complete has ended

    Examples:
      | site   |
      | falaj  |
      | yayla  |
      | shared |

  Scenario Outline: A day with <trouble> violates no invariant
    When a day of each site with <trouble> is simulated, twice on each day
    Then no invariant is violated
    And every job that can complete has ended
    And no wave had more hosts down than allowed, and each is complete

    Examples:
      | trouble                   |
      | crash                     |
      | restarts and cuts         |
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
      | lost lease                |
      | shedding targets          |

  Scenario Outline: Fillers, served tasks, gangs and advice with <trouble>
    When a day of "shared" with <trouble> is simulated, twice on the day
    Then no invariant is violated
    And every job that can complete has ended

    Examples:
      | trouble           |
      | crash             |
      | restarts and cuts |
      | cut targets       |
      | late orders       |
      | new leader        |
      | drain             |
      | wave              |
      | silent advisor    |

  # Guards against stops beyond a step's budget: a stop by an earlier leader is not known.
  Scenario Outline: Waves keep the budgets of steps while the leader changes on "<site>"
    When a day of "<site>" with wave beside hand-overs is simulated, twice on the day
    Then no invariant is violated
    And every job that can complete has ended
    And no wave had more hosts down than allowed, and each is complete

    Examples:
      | site  |
      | falaj |
      | yayla |

  Scenario: Jobs that take far longer than their estimate end
    When days with underestimated jobs are simulated
    Then no invariant is violated
    And every job that can complete has ended

  Scenario: A wave completes although a host is lost during its upkeep
    When a day of each site with a wave and a host lost in upkeep is simulated
    Then no invariant is violated
    And every job that can complete has ended
    And no wave had more hosts down than allowed, and each is complete

  Scenario Outline: A wave of half of the hosts ends in time with few hosts down at once
    When days of "<site>" are simulated with a wave that allows few hosts down at once
    Then no invariant is violated
    And no wave had more hosts down than allowed, and each is complete
    And each wave has ended within its duration

    Examples:
      | site  |
      | falaj |
      | yayla |

  Scenario Outline: A wave keeps its limit when the wall clock jumps
    When a day of "<site>" is simulated with a wave and a clock jump <gap> seconds later
    Then no invariant is violated
    And no wave had more hosts down than allowed, and each is complete

    Examples:
      | site  | gap |
      | falaj | 0.3 |
      | falaj | 1.0 |
      | yayla | 1.0 |
      | yayla | 3.0 |

  Scenario Outline: A leader that is elected again resumes its earlier work
    When days of "<site>" are simulated on which the leader changes four times
    Then no invariant is violated
    And every job that can complete has ended
    And the leader knows the pool of each host
    And no run is started on an incarnation that has ended

    Examples:
      | site   |
      | shared |
      | falaj  |

  Scenario: The checker detects fillers that are not throttled
    When a busy day of "shared" is simulated without "pacing"
    Then an invariant is violated

  Scenario: Steps of a queue with an advisor start only with a ticket
    When a fault-free day of "shared" is simulated without "tickets"
    Then a job never ends

  Scenario: Days with three kinds of faults each violate no invariant
    When 6 days with three faults each are simulated
    Then no invariant is violated
    And every job that can complete has ended
    And no wave had more hosts down than allowed, and each is complete

  # Guards against tasks that neither run nor wait, and against targets left unused.
  Scenario: On days with random faults no task waits while sound targets have room
    When 30 days with random faults are simulated
    Then no invariant is violated
    And every job that can complete has ended
    And no task waits while sound targets have room

  Scenario: The checker detects tasks that are not started again
    When a day with crashes is simulated without starting their tasks again
    Then a task waits while sound targets have room

  Scenario: The checker detects a scheduler that ignores capacity
    When a fault-free day of "yayla" is simulated with unenforced capacity
    Then an invariant is violated

  Scenario: The checker detects a scheduler that discards the runs of a silent target
    When a day with cut targets is simulated without waiting for their leases
    Then an invariant is violated
