Feature: Jobs run within limits, at most once where asked, and reach their end

  Scenario Outline: A lease that can't be renewed ends
    Given a fleet of 1 service with 2 workers
    And a <kind> job of 100 s runs
    When <trouble>
    And 4 s go by
    Then the job is "running"
    When 8 s go by
    Then the job is "<phase>"

    Examples:
      | kind           | trouble                   | phase   |
      | repeatable     | its worker is cut off     | running |
      | non-repeatable | its worker is cut off     | unknown |
      | non-repeatable | its key is withdrawn      | unknown |

  Scenario: A job whose lease ran out counts until it has surely stopped
    Given a fleet of 1 service with 2 workers and an upper limit of 1
    And a repeatable job of 100 s runs
    When its worker is cut off
    And another job is submitted
    Then no more than 1 job really runs during 30 s

  Scenario: A new leader gives every lease its whole length
    Given a fleet of 1 service with 2 workers
    And a non-repeatable job of 30 s runs
    When the leader changes every 2 s for 20 s
    And 20 s go by
    Then the job is "done"

  Scenario Outline: A job that is handed back
    Given a fleet of 1 service with 2 workers
    And a <kind> job of 100 s runs
    When its target hands it back, and says "<said>"
    Then the job became "<phase>"

    Examples:
      | kind           | said     | phase   |
      | repeatable     | it ran   | queued  |
      | non-repeatable | it ran   | unknown |
      | non-repeatable | not run  | queued  |

  Scenario Outline: A target that goes away while it is given a job
    Given a fleet of 1 service with 2 workers
    When a taker <leaves> while a non-repeatable job is being started for it
    Then the job runs once on another target

    Examples:
      | leaves         |
      | is cancelled   |
      | asks again     |

  Scenario Outline: Failing attempts
    Given a fleet of 1 service with 4 workers
    When a <kind> job that fails everywhere is submitted
    And 10 s go by
    Then the job is "failed"
    And it ran <times> times on different targets

    Examples:
      | kind           | times |
      | repeatable     | 3     |
      | non-repeatable | 1     |

  Scenario Outline: What StartJob, EndJob and SubmitJob refuse
    Given a fleet of 1 service with 2 workers
    Then "<command>" is refused as "<code>"

    Examples:
      | command                              | code        |
      | start with a withdrawn key           | bad-key     |
      | start on a leaving target            | conflict    |
      | start on a lost target               | conflict    |
      | start under an older generation      | not-found   |
      | start on another service's target    | not-allowed |
      | end with a withdrawn key             | bad-key     |
      | end an older attempt                 | stale       |
      | end with two megabytes               | too-large   |
      | submit a megabyte                    | too-large   |
      | submit to a full queue               | overloaded  |
      | submit another body under one id     | conflict    |
      | submit a size below zero             | bad-request |

  Scenario: Urgent work starts on a full fleet
    Given a fleet of 1 service with 4 workers
    And it is full of repeatable jobs of 60 s
    When 4 urgent jobs come
    Then all of them have started within 1.7 s

  Scenario: A team at its share does not wait with its urgent work
    Given a fleet of 1 service with 4 workers
    And two teams fill it with repeatable jobs of 60 s
    When 2 urgent jobs come
    Then all of them have started within 1.7 s

  Scenario: Calling every job urgent gains two slots at most
    Given a fleet of 1 service with 4 workers
    When one team calls all jobs urgent and the other none for 60 s
    Then the one has run at most 2 slots more than the other

  Scenario: A job that no host can hold is told so and blocks nobody
    Given a fleet of 1 service with 2 workers
    When a job of 500 processors and 3 small jobs are submitted
    And 10 s go by
    Then the large job is held because it "needs a host with 500 processors"
    And the small jobs are done

  Scenario: A worker that fails all it starts is quarantined and comes back
    Given a fleet of 1 service with 8 workers
    When one worker is broken and jobs come for 20 s
    Then only that worker is quarantined
    When the worker is repaired and jobs come for 60 s
    Then no worker is quarantined

  Scenario: A host on probation is given trial work only, and no start is refused
    Given a fleet of 1 service with 2 workers
    When one host is on probation and 12 jobs come for 30 s
    Then 1 job runs there and 4 on the other host
    And no start was refused

  Scenario: A wave of cancellations is bounded and moves nothing
    Given a fleet of 2 services with 4 workers
    When 5000 jobs are queued and then cancelled
    And 400 s go by
    Then no job is queued or running
    And no command cancelled more than 500 jobs
    And no host was moved

  Scenario: A host moves to a pool that stays short, after its work has ended
    Given a fleet of 2 services with 4 workers
    When one service asks for more than it holds for 420 s
    Then a host was moved to its pool from another with nothing running on it

  Scenario Outline: Faults at random
    Then the faults of seed <seed> break no promise

    Examples:
      | seed |
      | 101  |
      | 102  |
      | 103  |
      | 104  |
