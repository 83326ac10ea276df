@daemon
Feature: Operators drive the system from the command line

  Scenario: A first quarter of an hour
    When the operator runs
      | command                                                             | exit | shows                            |
      | pool create interior --quiet-start 1320 --quiet-end 120             | 0    | pool interior is there           |
      | pool create interior --quiet-start 1320 --quiet-end 120             | 0    | pool interior is there           |
      | pool create office --spare                                          | 0    | pool office is there             |
      | host add host-1 interior --zone nizwa --rack n1 --processors 64 --memory-mb 131072 | 0 | belongs to pool interior |
      | host add host-1 interior --zone bahla                               | 1    | exists with other values         |
      | host move host-1 interior office                                    | 0    | belongs to pool office           |
      | host move host-1 interior office                                    | 0    | belongs to pool office           |
      | host move host-1 moon interior                                      | 1    | belongs to pool 'office'         |
      | host move host-1 office interior                                    | 0    | belongs to pool interior         |
      | host cordon host-1                                                  | 0    | host-1 is cordoned               |
      | host uncordon host-1                                                | 0    | host-1 is serving                |
      | host show host-1                                                    | 0    | nizwa                            |
      | host list                                                           | 0    | n1                               |
      | team create dispatch --share 2 --limit 40                           | 0    | team dispatch is there           |
      | team set dispatch --limit 60                                        | 0    | share 2 and upper limit 60       |
      | team list                                                           | 0    | 60                               |
      | service check examples/falaj/services/route-plans.toml              | 0    | good                             |
      | service diff examples/falaj/services/route-plans.toml               | 0    | +name = "route-plans"            |
      | service apply examples/falaj/services/route-plans.toml              | 0    | version 1 is in force            |
      | service apply examples/falaj/services/route-plans.toml              | 0    | version 1 is in force            |
      | service history route-plans                                         | 0    | version                          |
      | service show route-plans                                            | 0    | [service]                        |
      | service list                                                        | 0    | dispatch                         |
      | job list                                                            | 0    | none                             |
      | job show nothing                                                    | 1    | does not exist                   |
      | status                                                              | 0    | leader                           |
      | explain                                                             | 0    | none                             |
      | report                                                              | 0    | counted since                    |
      | member list                                                         | 0    | entry-1                          |
      | member add entry-2 127.0.0.1 9 --zone bahla                         | 0    | entry-2 is a learner             |
      | member promote entry-2                                              | 1    | has not greeted the leader       |
      | member promote entry-3                                              | 1    | member 'entry-3' does not exist  |
      | member demote entry-1                                               | 1    | entry-1                          |
      | member remove entry-2                                               | 0    | entry-2 is no member             |
      | member remove entry-2                                               | 1    | 'entry-2' is no member           |
      | member add entry-2 127.0.0.1 port                                   | 2    | port 'port': use 1 to 65535      |
      | team remove dispatch                                                | 1    | owns service 'route-plans'       |
      | service remove route-plans                                          | 0    | service route-plans is gone      |
      | host remove host-1                                                  | 0    | host host-1 is gone              |

  Scenario Outline: Usage errors name option and value: <command>
    When the operator runs "<command>"
    Then the exit code is 2
    And it shows "<shows>"

    Examples:
      | command                                  | shows                                            |
      | pool create x --quiet-start noon         | --quiet-start 'noon' is no whole number          |
      | pool create x --quiet-start 1440         | --quiet-start 1440 is out of range: use 0 to 1439 |
      | team create x --share inf                | --share inf is out of range                      |
      | team create x --limit 1.5                | --limit '1.5' is no whole number                 |
      | service apply no-such-file.toml          | no-such-file.toml                                |
      | service show                             | Not enough arguments                             |
      | pool creat x                             | Did you mean                                     |
      | pool list --settings no-such-file.toml   | no-such-file.toml: No such file                  |
      | pool list --wait never                   | --wait 'never' is no number                      |
      | pool create Interior                     | lower-case letters                               |

  Scenario: A race with equal numbers shows the winner
    Given team "dispatch" with pool "interior" is set up
    And a document with deadline 1000 is applied with number 1
    And a document with deadline 2000 is applied with number 2
    When a document with deadline 3000 is applied with number 2
    Then the exit code is 1
    And it shows "-deadline_ms = 2000"
    And it shows "+deadline_ms = 3000"
    When a document with deadline 3000 is applied without a number
    Then the exit code is 2
    And it shows "--number 3"
    When a document with deadline 1000 is applied with number 1
    Then the exit code is 0
    And it shows "superseded by 2"
    When the operator runs "service roll-forward plans 1"
    Then it shows "version 3 is in force"
    When the operator runs "service show plans"
    Then it shows "deadline_ms = 1000"
    When the operator runs "service roll-forward plans 9"
    Then it shows "kept are 1, 2, 3"

  Scenario: Keys overlap for rotation and a withdrawn one stays withdrawn
    Given team "dispatch" with pool "interior" is set up
    When the operator gives team "dispatch" a key
    And the operator gives team "dispatch" a key
    Then "key list --team dispatch" names both keys and no secret
    When the operator withdraws the first key
    Then the exit code is 0
    When the operator withdraws the first key
    Then the exit code is 0
    When the operator runs "key withdraw no-such-key"
    Then the exit code is 1
    And it shows "key 'no-such-key' does not exist"
    When the first key is given again by a late resend
    Then the late resend is refused as "conflict"

  Scenario: The next entry is tried and a lost answer loses no key
    Given team "dispatch" with pool "interior" is set up
    And the entries are one that is down, one that loses answers, and the daemon
    When the operator gives team "dispatch" a key
    Then the exit code is 0
    And the shown key is in force and is the only one

  Scenario: A removal whose answer was lost succeeds
    Given team "dispatch" with pool "interior" is set up
    And the entries are one that is down, one that loses answers, and the daemon
    When the operator runs "team remove dispatch"
    Then the exit code is 0

  # Guards against "bad-key" for a command that an earlier send has carried out.
  Scenario: A key that is refused after a lost answer does not deny the command
    Given team "dispatch" with pool "interior" is set up
    And the entries are one that loses answers, and one that refuses the key
    When the operator runs "team remove dispatch"
    Then the exit code is 5
    And it shows "it may have been accepted"
    And there is no team

  Scenario: An entry that is down has an exit code of its own
    Given the entries are only one that is down
    When the operator runs "pool list"
    Then the exit code is 3
    And it shows "no entry could be reached"

  Scenario: An answer that is no JSON is told
    Given the entry is something that answers "<html>hello</html>"
    When the operator runs "pool list"
    Then the exit code is 1
    And it shows "is this the operators' port of an entry?"

  Scenario: A change that is not yet in force names who is waited for
    Given daemon "entry-9" does not confirm
    When the operator runs "pool create interior --wait 0.2"
    Then the exit code is 4
    And it shows "not yet in force on entry-9"

  Scenario: A wrong key is refused with the next step
    Given the operator's key is "mlk_operator_wrong"
    When the operator runs "pool list"
    Then the exit code is 1
    And it shows "check --key"

  Scenario: Entries and key come from a settings file
    Given a client settings file
    When the operator runs "pool list" with that file only
    Then the exit code is 0

  Scenario: A fault in a settings file names its place
    Given a client settings file with "entry = 3"
    When the operator runs "pool list" with that file only
    Then the exit code is 2
    And it shows "entry: unknown; did you mean entries?"

  Scenario: Programs read JSON with the index
    When the operator runs "pool create interior --json"
    Then it shows JSON with "index, detail, waiting"

  Scenario: Jobs are listed by queue, team and phase, without their bodies
    Given team "dispatch" with pool "interior" is set up
    And a document with deadline 1000 and a queue is applied with number 1
    And 3 jobs are queued by team "dispatch", of which one is cancelled
    When the operator runs "job list --phase queued --service plans --team dispatch"
    Then it shows 2 lines with "queued" and none with "cancelled"
    When the operator runs "job list --phase cancelled"
    Then it shows 1 lines with "cancelled" and none with "queued"
    When the operator runs "job show job-1"
    Then it shows "body_bytes"
    And it does not show "secret plan"
    When the operator runs "job cancel dispatch job-1 job-2"
    Then the exit code is 0
    When the operator runs "job list --team nobody"
    Then it shows "none"

  Scenario: Decisions explain what happened
    Given the daemon decided to pause "wave/monday" because "two hosts are out"
    When the operator runs "explain wave/monday"
    Then it shows "two hosts are out"
    When the operator runs "explain wave/tuesday"
    Then it shows "none"
