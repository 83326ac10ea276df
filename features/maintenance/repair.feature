Feature: From silence to a decision

  Background:
    Given a fleet of 2 pools with 3 services on 6 hosts each

  Scenario: One entry's partition condemns no host
    When only entry "entry-1" reports
    And zone "a" is lost for 60 minutes
    And 20 minutes go by
    Then no host is "lost" and the repair says "entries report"

  Scenario: A host whose own entry is silent is given time
    When host "host-0-4" was last heard by "entry-3"
    And only entries "entry-1" report
    And host "host-0-4" fails
    And 20 minutes go by
    Then no host is "lost" and the repair says "entries report"

  Scenario: A host that fails is cordoned, rebooted, tried and returned
    When host "host-0-4" fails
    Then host "host-0-4" becomes "lost" within 2 minutes
    And host "host-0-4" is rebooted once within 8 minutes
    And host "host-0-4" serves and is proved within 12 minutes

  Scenario: A lost request for a reboot is sent again
    When requests to the platform are lost
    And host "host-0-4" fails
    And 8 minutes go by
    And requests to the platform arrive
    Then host "host-0-4" is rebooted once within 1 minutes

  Scenario: A host that stays lost is replaced from the spare pool
    When host "host-0-4" fails for good
    And 40 minutes go by
    Then 1 spare host serves in its place and 6 hosts count for its service

  Scenario: A rack lost is one event with bounded moves
    When the rack of "host-0-0" is lost for 60 minutes
    And 50 minutes go by
    Then the repair names one "rack" and reboots none of its hosts
    And at most 2 spare hosts were moved

  Scenario: An availability zone lost is one event without a stampede
    When zone "a" is lost for 60 minutes
    And 50 minutes go by
    Then the repair names one "availability-zone" and reboots none of its hosts
    When the zone is back
    Then at most 1 host is on probation at any time
    And all hosts serve within 60 minutes

  Scenario: Flapping hosts are held out longer each time
    When host "host-0-4" fails and comes back 5 times
    Then each time after the second it is held out for longer

  Scenario Outline: Lost hosts are grouped by the domain that explains them
    Then by "<way>" losing <lost> gives <events>

    Examples:
      | way    | lost                | events            |
      | domain | one host            | 1 host            |
      | domain | hosts of two racks  | 2 host            |
      | domain | a rack              | 1 rack            |
      | domain | a zone              | 1 availability-zone |
      | region | a zone              | 1 availability-zone |
