Feature: One durable count of planned and unplanned loss

  Scenario Outline: The budget that binds is named
    Given 6 hosts of one service with budget "<budget>"
    When hosts <lost> are lost
    Then a permit for host <host> is refused with "budget" naming "<field>"

    Examples:
      | budget                                        | lost | host | field                  |
      | out=1 zone=9 rack=9 serving=1                 | 0    | 1    | max_hosts_out          |
      | out=9 zone=1 rack=9 serving=1                 | 0    | 3    | max_hosts_out_per_zone |
      | out=9 zone=9 rack=1 serving=1                 | 0    | 3    | max_hosts_out_per_rack |
      | out=9 zone=9 rack=9 serving=5                 | 0    | 1    | min_hosts_serving      |
      | out=9 zone=9 rack=9 serving=1 minutes=20      | 0    | 1    | outage_minutes         |

  Scenario: Without a loss the same permit is given
    Given 6 hosts of one service with budget "out=1 zone=1 rack=1 serving=5"
    Then a permit for host 1 is given

  Scenario Outline: A host stays counted until it has proved itself
    Given 6 hosts of one service with budget "out=1 zone=1 rack=1 serving=1"
    When hosts 0 are lost
    And 15 minutes pass
    And <what>
    Then a permit for host 1 is refused with "budget" naming "max_hosts_out"

    Examples:
      | what                                   |
      | the target of host 0 is forgotten      |
      | host 0 announces itself again          |
      | the state is restored from a snapshot  |

  Scenario: A second loss right after a repair finds the count true
    Given 6 hosts of one service with budget "out=2 zone=2 rack=2 serving=1"
    When hosts 0 are lost
    And 15 minutes pass
    And host 0 announces itself again
    And hosts 1 are lost
    And 15 minutes pass
    Then 2 hosts count as out
    And a permit for host 2 is refused with "budget" naming "max_hosts_out"
    When host 0 is proved
    Then 1 host counts as out
    And a permit for host 2 is given

  Scenario: A fresh unplanned loss makes waves wait although the budget has room
    Given 6 hosts of one service with budget "out=3 zone=3 rack=3 serving=1"
    When hosts 0 are lost
    Then a permit for host 1 is refused with "budget" naming "unplanned_loss"
    When 15 minutes pass
    Then a permit for host 1 is given

  Scenario: A second planned outage by an operator is refused too
    Given 6 hosts of one service with budget "out=1 zone=1 rack=1 serving=1"
    Then a permit for host 1 is given
    And cordoning host 2 is refused with "budget"
    And a planner's move of host 2 is refused with "budget"
    And cordoning host 1 is refused with "in-use"
    And removing host 1 is refused with "in-use"

  Scenario: A host that was moved counts until its target has left
    Given 6 hosts of one service with budget "out=1 zone=1 rack=1 serving=1"
    When an operator moves host 0
    Then 1 host counts as out
    When the target of host 0 leaves
    Then 0 hosts count as out
    And 5 hosts count for the service

  Scenario: An operator releases a host that will not come back
    Given 6 hosts of one service with budget "out=1 zone=1 rack=1 serving=1"
    When hosts 0 are lost
    And an operator releases host 0
    Then 0 hosts count as out
    And 5 hosts count for the service

  Scenario: A permit stays cheap at 1,000 hosts
    Given the fleet of the size to design for
    Then counting one service visits each host once
