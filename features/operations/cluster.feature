@cluster
Feature: Operators change a cluster of daemons while daemons fail

  Background:
    Given 3 voters and 2 learners run
    And pool "interior" and team "dispatch" are there

  Scenario: What apply has returned is in force on every entry, also on one that slept
    When a document with deadline 1000 is applied with number 1
    Then the exit code is 0
    And every entry has version 1
    When a learner is paused
    And a document with deadline 2000 is applied with number 2
    Then the exit code is 0
    And it took less than 8 s
    When the learner is resumed
    Then it never shows version 1 as fresh, and has version 2 within 5 s

  Scenario: A key withdrawn while a daemon sleeps never works on it again
    Given a document with deadline 5000 is applied with number 1
    And the operator gives team "dispatch" a key
    When a learner is paused
    And the operator withdraws the first key
    Then the exit code is 0
    And it took less than 8 s
    When the learner is resumed
    Then 50 calls with the key to the learner are refused as not run

  Scenario: The leader is killed while two operators race and resend
    When the leader is killed while two operators apply 8 versions each
    Then every number was won by one text, and every entry has the last one
    And "status" shows the killed daemon as missing

  Scenario: The report adds up the entries, and counts outlive a restart
    Given a document with deadline 5000 is applied with number 1
    And the operator gives team "dispatch" a key
    And a target serves "plans"
    When 4 calls are sent through each entry
    Then "report --json" counts 20 good calls by 5 daemons
    When a voter is stopped and started again
    Then "report --json" counts 20 good calls by 5 daemons
