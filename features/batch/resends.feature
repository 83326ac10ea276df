Feature: A refusal of a resent request does not deny what an earlier send has achieved

  # Guards against 401 and 404 for jobs that were accepted and run.
  Scenario Outline: A caller <request>, and <change> before the entry sends it again
    Given an idle fleet, and an entry that loses the first answer of the leader
    When a caller <request>, and <change> before the entry sends it again
    Then the caller is told "<verdict>"
    And the caller's job is <state>

    Examples:
      | request       | change               | verdict | state     |
      | submits a job | its key is withdrawn | ok      | accepted  |
      | submits a job | its queue is removed | ok      | accepted  |
      | submits a job | nothing changes      | ok      | accepted  |
      | cancels a job | its key is withdrawn | ok      | cancelled |
      | cancels a job | its queue is removed | ok      | cancelled |

  # Guards against 200 for a request that came after its key was withdrawn.
  Scenario: An accepted job is submitted again with a key that is withdrawn
    Given an idle fleet, and an entry that loses no answer
    When a caller submits a job through another entry, and its key is withdrawn
    And the caller submits it again, and the entry sends it twice
    Then the caller is told "unknown"
    And the caller's job is accepted

  # Guards against 401 where the leader that accepted the job is lost.
  Scenario: The leader that answered the first send has been replaced
    Given an idle fleet, and an entry that loses the first answer of the leader
    When a caller submits a job, and another leader without its key gets it again
    Then the caller is told "unknown"
    And the caller's job is accepted

  # Guards against the same where the leader can't tell what became of the first send.
  Scenario Outline: A caller <request>, <change>, and the first send may still arrive
    Given an idle fleet, and an entry whose first request is delayed
    When a caller <request>, and <change> before the entry sends it again
    Then the caller is told "unknown"

    Examples:
      | request       | change               |
      | submits a job | its key is withdrawn |
      | submits a job | its queue is removed |
      | submits a job | the leader is full   |
      | cancels a job | its key is withdrawn |

  Scenario Outline: A request that is sent once is refused as before if <change>
    Given an idle fleet, and an entry that loses no answer
    When <change>, and a caller submits a job
    Then the caller is told "<verdict>"
    And the caller's job is unknown

    Examples:
      | change               | verdict  |
      | its key is withdrawn | bad-key  |
      | its queue is removed | no-queue |
      | the leader is full   | refused  |

  # Guards against 200 for a job that was never accepted, after a restart of the entry.
  Scenario: The answer to a request of an entry arrives after the entry was restarted
    Given an idle fleet, and an entry whose first request is delayed
    When an entry restarts, and the leader's answer to its former request arrives
    Then the caller of the restarted entry is told nothing yet

  # Guards against 504 at each planned stop of a leader, while the caller still waits.
  Scenario Outline: A caller <request>, and the leader <end> before that is durable
    Given an idle fleet, and an entry that loses no answer
    When a caller <request>, and the leader <end> before that is durable
    Then the caller is told "<verdict>"
    And the caller's job is <state>

    Examples:
      | request       | end                              | verdict | state     |
      | submits a job | resigns and is elected again     | ok      | accepted  |
      | cancels a job | resigns and is elected again     | ok      | cancelled |

  Scenario: A caller submits a job, and no leader can tell what became of it
    Given an idle fleet, and an entry that loses no answer
    When a caller submits a job, and the leader resigns before that is durable
    Then the caller is told nothing until it stops waiting, and "unknown" then

  # Guards against callers that wait for ever behind a submission that failed.
  Scenario: Two callers submit a job, and the leader fails with an error on the first
    Given an idle fleet, and an entry that loses no answer
    When two callers submit the same job, and the leader's cycle raises an error
    Then both callers are told "unknown", and a third one is told "ok"
