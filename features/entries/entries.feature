Feature: Calls through real daemons keep their promises while daemons end

  Background:
    Given service "payouts" that is not repeatable, on a scripted target

  Scenario: An entry is killed in the middle of a call
    Given the target takes 800 ms
    When request "r1" is begun through "e1"
    And "e1" is killed
    And request "r1" is sent through "e2" with a deadline of 1500 ms
    Then it is told 504 with outcome "unknown"
    And the target has run 1 requests

  Scenario: The leader is killed between a request and its resend
    When request "r1" is sent through "e1" with a deadline of 2000 ms
    Then it is answered with "echo:r1"
    When the leader is killed
    And request "r1" is sent through "e2" until it is answered with "echo:r1"
    Then the target has run 1 requests

  Scenario: A planned stop lets the running call end
    Given the target takes 800 ms
    When request "r1" is begun through "e1"
    And "e1" is sent 1 signals
    Then "e1" ends with code 0
    And the begun request is answered with "echo:r1"

  Scenario: A second signal hurries the stop, which says what it cut off
    Given the target's next answer is "silent"
    When request "r1" is begun through "e1"
    And "e1" is sent 2 signals
    Then "e1" ends with code 1
    And its log names the call "r1" as cut off
