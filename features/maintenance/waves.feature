Feature: A wave begins with a canary, grows, and stops when hosts do not come back

  Background:
    Given a fleet of 2 pools with 3 services on 6 hosts each

  Scenario: A canary first, then four times as many
    When a wave over pool 0 starts
    Then the wave has 1 host out at first
    And its next hosts go out only once the canary is done
    And the wave ends with all 18 hosts done and none cut off

  Scenario: The plan is compared with the theoretical least
    Then the plan of pool 0 has 7 rounds of 6 at least because of "max_hosts_out"
    And the plan says "canary"

  Scenario Outline: A wave stops and says why
    When a wave over pool 0 starts
    And its canary <trouble>
    Then the wave stops and names its canary and "<reason>"
    And it goes no further in an hour
    When an operator resumes the wave
    Then the wave has 1 host out at first

    Examples:
      | trouble                    | reason              |
      | never comes back           | not back            |
      | comes back slowly          | not back after      |
      | is lost again on probation | lost again          |
      | fails its first jobs       | failed 2 jobs       |
      | is failed by the platform  | the platform failed |

  Scenario: Hosts that are lost soon after their maintenance stop the wave
    When a wave over pool 0 starts
    And its canary is done, proved and lost again
    Then the wave stops and names its canary and "lost soon after"
    And it goes no further in an hour

  Scenario: A host that never comes back stays counted as lost
    When a wave over pool 0 starts
    And its canary never comes back
    And 20 minutes go by
    Then its canary is "lost" and counts as out

  Scenario Outline: Permits keep to the pool's quiet time
    Given pool 0 is quiet from minute <start> to <end>
    When a wave over pool 0 starts at minute <now>
    And 10 minutes go by
    Then the wave has taken <some> out

    Examples:
      | start | end  | now  | some     |
      | 60    | 180  | 61   | hosts    |
      | 60    | 180  | 30   | no hosts |
      | 60    | 180  | 178  | no hosts |
      | 60    | 180  | 181  | no hosts |
      | 1380  | 120  | 1390 | hosts    |
      | 1380  | 120  | 30   | hosts    |
      | 1380  | 120  | 121  | no hosts |
      | 0     | 0    | 700  | hosts    |

  Scenario: A drain that outlasts the quiet time ends without a reboot
    Given pool 0 is quiet from minute 60 to 80
    When drains take 30 minutes
    And a wave over pool 0 starts at minute 60
    And 25 minutes go by
    Then no host is out and none was rebooted

  Scenario: Two waves over pools that share services
    Given every other host of pool 1 serves a service of pool 0
    When a wave over pool 0 starts
    And a wave over pool 1 starts
    Then both waves end and no service ever had more than 1 host out

  Scenario: Two waves over the same hosts
    When a wave over pool 0 starts
    And another wave over pool 0 starts
    Then both waves end and no host was rebooted by both at once

  Scenario: An availability zone is lost in mid-wave
    When a wave over pool 0 starts
    And 6 minutes go by
    And zone "a" is lost for 30 minutes
    Then no host goes out while the zone is lost
    And the wave ends with all 18 hosts done and none cut off

  Scenario: Hosts leave the pool in mid-wave
    When a wave over pool 0 starts
    And 2 minutes go by
    And host "host-0-17" moves to pool 1
    And host "host-0-16" fails and is removed
    Then the wave ends with all 16 hosts done and none cut off

  Scenario: A wave ends after a week without a host that stays away
    When host "host-0-17" fails for good
    And a wave over pool 0 starts
    And 3 hours go by
    Then the wave still runs
    When 8 days go by
    Then the wave is "done" because of "could not go: host-0-17"
    And 17 hosts are done

  Scenario: A paused wave finishes what it began and resumes
    When a wave over pool 0 starts
    And 6 minutes go by
    And an operator pauses the wave
    Then no host is out after 15 minutes
    When an operator resumes the wave
    Then the wave ends with all 18 hosts done and none cut off

  Scenario: An abandoned wave gives draining hosts back without a reboot
    When drains take 30 minutes
    And a wave over pool 0 starts
    And 1 minute goes by
    And an operator abandons the wave
    And 1 minute goes by
    Then no host is out and none was rebooted

  Scenario: A late resend of a pause does not undo a resume
    When a wave over pool 0 starts
    And an operator pauses the wave
    And an operator resumes the wave
    And the pause is sent again
    Then the resend is refused with "conflict" and the wave runs

  Scenario Outline: Held hosts stay in
    When an operator holds <kind> "<name>" for "audit"
    And a wave over pool 0 starts
    And 90 minutes go by
    Then <count> hosts are done and <name> is named as held for "audit"

    Examples:
      | kind    | name        | count |
      | host    | host-0-4    | 17    |
      | service | service-0-1 | 12    |

  Scenario Outline: A long job is told to the operator and never cut off
    When a job of an hour runs on the canary
    And a wave over pool 0 with long jobs "<policy>" starts
    And 10 minutes go by
    Then the operator is told of the job and its expected end
    And the canary is "<phase>" and its job still runs

    Examples:
      | policy | phase    |
      | wait   | draining |
      | skip   | serving  |

  Scenario Outline: Jobs that may be put off are, and no others
    Given the queues allow "<allowed>" and their jobs are <kind>
    When a job of an hour runs on the canary
    And a wave over pool 0 starts
    And 3 minutes go by
    Then the canary's job was asked to "<order>"

    Examples:
      | allowed        | kind            | order      |
      | may_checkpoint | repeatable      | checkpoint |
      | may_stop       | repeatable      | stop       |
      | may_stop       | not repeatable  | none       |
      | may_checkpoint | not repeatable  | none       |
      | may_throttle   | repeatable      | none       |

  Scenario: A planner's drain asks the budgets, a target's own leave does not
    When a planner drains hosts of one service one after the other
    Then the second drain is refused with "budget"
    And a target that says so itself leaves

  Scenario: A service document is rolled out by a wave within the same budgets
    When version 2 of "service-0-0" is accepted and rolled out
    Then the wave ends with all 6 hosts done and none cut off
    And the time from acceptance to the last host is told

  Scenario: A roll-out stops when another version is accepted
    When version 2 of "service-0-0" is accepted and rolled out
    And version 3 of "service-0-0" is accepted
    And 10 minutes go by
    Then the wave is "stopped" because of "is at version 3 now"
    And rolling version 2 out again is refused with "conflict"

  Scenario: Without a platform no host is drained
    When there is no platform
    And a wave over pool 0 starts
    And 2 minutes go by
    Then the wave has taken no hosts out

  Scenario: What binds a wave is told once
    When host "host-0-0" is lost for 60 minutes
    And a wave over pool 0 starts
    And 20 minutes go by
    Then each cause of a wait is told in the same words

  Scenario: Finished waves are dropped after their time, with their permits
    When a wave over pool 0 starts
    And the wave ends
    And 61 days go by
    Then no wave and no permit is kept
