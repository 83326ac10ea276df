Feature: What a data folder promises

  Background:
    Given a data folder of daemon "v1"

  Scenario Outline: A torn tail is cut off with a log line
    Given 3 records are written
    When the last <bytes> bytes of the log are <fault>
    And the folder is opened again
    Then 2 records are found
    And the log says "torn tail cut off"
    And 1 more record can be written and read back

    Examples:
      | bytes | fault   |
      | 1     | missing |
      | 9     | missing |
      | 5     | zeroed  |

  Scenario: A daemon that begins applies what it knew to be committed
    Given 3 records are written, each with the one before committed
    When a daemon begins with the folder, and reaches no other
    Then it has applied 2 entries

  Scenario: Damage in the middle stops the voter
    Given 3 records are written
    When a byte of the second record changes
    And the folder is opened again
    Then the storage is damaged at "log"
    And a daemon with the folder does not vote and says so

  Scenario: A damaged snapshot stops the voter
    Given 3 records are written
    And a snapshot is written
    When a byte of the snapshot changes
    And the folder is opened again
    Then the storage is damaged at "snapshot"

  Scenario Outline: A crash while a snapshot is written loses nothing
    Given 3 records are written
    When the disk fails at operation <operation> of writing a snapshot
    And the folder is opened again
    Then entries 1 to 3 are covered

    Examples:
      | operation |
      | 1         |
      | 2         |
      | 3         |
      | 4         |

  Scenario: A foreign folder is refused by name
    When it is opened as the folder of daemon "v2"
    Then it is refused with "is the data folder of daemon 'v1', not of 'v2'"

  Scenario: A log without its identity is refused
    Given 3 records are written
    When the identity file is removed
    And it is opened as the folder of daemon "v1"
    Then it is refused with "holds a log but no identity.json"

  Scenario: Two daemons cannot use one folder
    When it is opened twice
    Then it is refused with "in use by another daemon"

  Scenario: A full disk refuses writes and goes on reading
    Given a daemon alone with pool "before" and a disk that fills up
    When pool "refused" is proposed
    Then it is refused as "disk"
    And pool "before" can be read and the daemon is fresh
    When the disk has room again
    And pool "after" is proposed
    Then it is accepted
    When the daemon starts again
    Then it has the pools "before" and "after" only

  Scenario: A change that is too large for the log is refused at once
    Given a daemon alone with pool "before" and a disk that fills up
    When a pool with a name of 9000000 characters is proposed
    Then it is refused as "too-large"

  Scenario: A broken invariant stops the process
    Given a daemon alone with pool "before" and a disk that fills up
    When an invariant is broken while time passes
    Then the process ends with code 70 and the log says "invariant broken: stopping"

  Scenario: A command of a later release is refused, and nothing stops
    Given a daemon alone with pool "before" and a disk that fills up
    When a daemon of a later release proposes a command that is not known yet
    Then the proposer is told "unknown command 'FromTheFuture': upgrade this daemon first"

  Scenario: A crash between a leader's snapshot and its log keeps no entry that it replaced
    Given 5 records are written
    When the disk fails at operation 3 of writing a leader's snapshot at 3
    And the folder is opened again
    Then a daemon begins at entry 3, without the replaced ones

  Scenario: A write that fails for no reason of the disk stops the process, not only its votes
    Given a daemon alone with pool "before" and a disk that fills up
    And the disk has room again
    When a write raises what is no error of the disk
    Then the process ends with code 70 and the log says "invariant broken: stopping"
