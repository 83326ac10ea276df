Feature: A cluster that lost its majority for good goes on from one folder

  Scenario: The last voter keeps every record and does not mix with the old ones
    Given a cluster of 3 voters and 1 learners
    When 20 pools are created
    And every daemon is killed
    And daemon "v1" is recovered without consent
    Then its data folder is unchanged
    When daemon "v1" is recovered
    And only daemon "v1" starts
    Then every acknowledged pool is on every daemon that runs
    When daemon "v2" starts with its old folder
    Then daemon "v2" is refused for its generation
    When daemon "v2" starts with an empty folder and is made a voter
    Then every acknowledged pool is on every daemon that runs
    And daemon "v1" counts 2 voters of generation 2
