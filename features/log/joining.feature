Feature: Whom a daemon dials

  # Between two daemons, the one whose name comes first dials. While a peer is down it
  # waits up to three seconds between two attempts, so a daemon that begins does not
  # rely on being dialled.

  Background:
    Given daemon "v3" of a cluster of "v1 v2 v3 v4"

  Scenario: A daemon that begins dials everyone
    When it begins
    Then it dials "v1 v2 v4"

  Scenario: A daemon that runs leaves peers before it to dial
    When it begins
    And 3.1 seconds pass under a leader
    Then it dials "v4"

  Scenario: A daemon that hears of no leader dials everyone again
    When it begins
    And 3.1 seconds pass under a leader
    And 3.1 seconds pass without a leader
    Then it dials "v1 v2 v4"

  Scenario: A peer that takes a connection and then says nothing is dialled again
    When a connection to a peer opens, and the peer never says a word
    Then the connection is given up within 2 seconds
    And the peer is dialled again within 4 seconds

  Scenario: A newcomer whose seeds don't include the leader is never added
    Given daemon "n9" that is no member and was told of the founders "v1 v2 v3"
    When "v3" tells it of "v3 n5 n6" under leader "n5"
    Then it dials "v1 v2 v3 n5 n6"

  Scenario: A newcomer learns nothing from a follower that it reaches
    Given a follower of "n5" in a cluster of "v3 n5 n6"
    When daemon "n9" that is no member connects
    Then "n9" is told of "v3 n5 n6" under leader "n5"

  Scenario: A newcomer isn't told of a leader elected after it connected
    Given a follower of "n5" in a cluster of "v3 n5 n6"
    When daemon "n9" that is no member connects
    And "n6" is elected
    Then "n9" is told of "v3 n5 n6" under leader "n6"

  Scenario: A member that knows only addresses of lost machines isn't dialled by its leader
    Given daemon "v3" of a cluster of "v1 v2 v3 v4"
    When it begins
    And 3.1 seconds pass while it leads
    Then it dials "v1 v2 v4"

  Scenario: A member that was cut off goes on to dial only members that are gone
    Given daemon "v3" of a cluster of "v1 v2 v3 v4"
    When it begins
    And 3.1 seconds pass under a leader
    And 3.1 seconds pass without a leader
    And "v4" tells it of "v3 v4 n5" under leader "n5"
    Then it dials "v1 v2 v4 n5"

  Scenario: Names that were told once are dialled for ever
    Given daemon "v3" of a cluster of "v1 v2 v3 v4"
    When it begins
    And "v4" tells it of "v3 v4 n5" under leader "n5"
    And 3.1 seconds pass under a leader
    Then it dials "v4"

  Scenario: Each change of the peers adds a row of dials to one that refuses
    When a peer refuses connections for 10 seconds while the peers change 20 times
    Then it is dialled at most 20 times in the 20 seconds after

  Scenario: A machine that was removed once is never dialled again though it leads
    Given daemon "v3" that knows "v1 v3 v4" as members and "v2" as removed
    When it begins
    And 3.1 seconds pass without a leader
    And "v4" tells it of "v2 v4" under leader "v2"
    Then it dials "v1 v2 v4"

  Scenario: A removed member sends callers to the leader of its time
    Given daemon "v3" of a cluster of "v1 v2 v3 v4"
    When it begins
    And it followed "v1" in term 1
    And "v4" tells it of "v4 n5 n6" under leader "n5"
    Then it names "v4 n5 n6" under leader "n5"

  Scenario: A newcomer that was told of the leader sends no caller to it
    Given daemon "n9" that is no member and was told of the founders "v1 v2 v3"
    When "v3" tells it of "v3 n5 n6" under leader "n5"
    Then it redirects a target to the leader

  Scenario: A newcomer passes on members that have changed since
    Given daemon "n9" that is no member and was told of the founders "v1 v2 v3"
    When "v3" tells it of "v3 n5 n6" under leader "n5" as of entry 10
    And "n6" tells it of "n5 n6 n7" under leader "n5" as of entry 20
    Then it names "n5 n6 n7" under leader "n5"

  Scenario: An entry takes the members of a voter that lags for the new ones
    Given an entry
    When "n6" tells the entry of "n5 n6 n7" under leader "n5" as of entry 20
    And "n7" tells the entry of "v3 n5 n7" under leader "n5" as of entry 10
    Then the entry dials "n5 n6 n7"

  Scenario Outline: A daemon of an earlier release stops as it is told of the leader
    Given a follower of "n5" in a cluster of "v3 n5 n6"
    When daemon "<name>" of an earlier release connects
    And "n6" is elected
    Then "<name>" is told of no leader

    Examples:
      | name |
      | n6   |
      | n9   |

  Scenario: A newcomer isn't told what another newcomer hears after they met
    Given a newcomer that knows no member
    When daemon "n9" that is no member connects
    And "v3" tells the newcomer of "v3 n5 n6" under leader "n5"
    Then "n9" is told of "v3 n5 n6" under leader "n5"
    When "n9" tells the newcomer of "v3 n5 n6" under leader "n5"
    Then "n9" was told 2 times

  Scenario: An entry that was cut off knows a standby and dials only voters that are gone
    Given an entry
    When "v3" tells the entry of "v1 v3 v4" and the standby "n5" under leader "v1"
    Then the entry dials "v1 v3 v4 n5"

  Scenario: A member that was removed while it was away never says that it is none
    Given daemon "v3" of a cluster of "v1 v2 v3 v4"
    When it begins
    And "v4" tells it of "v4 n5 n6" under leader "n5"
    And 3.1 seconds pass without a leader
    Then it logs that it is no member under leader "n5"
