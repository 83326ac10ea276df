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
