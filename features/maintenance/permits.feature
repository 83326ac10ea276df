Feature: A reboot permit is used once

  Background:
    Given a fleet of 2 pools with 3 services on 6 hosts each

  Scenario: The leader is lost between permit and reboot
    When a wave over pool 0 starts
    And its canary has a permit and drains
    And another leader takes over
    Then the wave ends with all 18 hosts done and none cut off
    And each permit was used once

  Scenario: The leader is lost between the reboot and its answer
    When the platform's answers are lost
    And a wave over pool 0 starts
    And its canary reboots
    And another leader takes over
    And the platform's answers arrive
    Then the wave ends with all 18 hosts done and none cut off
    And each permit was used once

  Scenario: An old leader gets no permit and asks for no reboot
    When a wave over pool 0 starts
    And its canary has a permit and drains
    And another leader takes over while the old one goes on
    Then commands of the old leader are refused with "stale"
    And the platform is asked by the new leader only

  Scenario: A permit sent twice is one permit
    When a wave over pool 0 starts
    And the canary's permit is sent again
    Then there is one permit for the canary

  Scenario: A reboot waits for slots that were lent before the drain
    When drains take 30 minutes
    And a wave over pool 0 starts
    And 20 minutes go by
    Then the canary drains and its reboot is refused with "in-use"

  Scenario: A host on probation gets trial work only
    When a wave over pool 0 starts
    And its canary is on probation
    Then its target is lent 1 slot and no second one
