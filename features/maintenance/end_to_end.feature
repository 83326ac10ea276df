Feature: A whole pool is maintained under constant calls with none cut off

  Scenario: Every host is rebooted once, and each call gets its own whole answer
    Given a daemon with a platform that loses every other answer
    And 2 services on 3 hosts each, under constant calls
    And a job of 1500 ms on the first host
    When an operator starts a wave over the pool by the command line
    Then the wave is done within 40 s
    And each of the 6 hosts was rebooted once with no call or job running
    And every call was answered whole, and the job ended
    And the command line shows 6 hosts done

  Scenario: The leader is killed between a reboot and the platform's answer
    Given a cluster of 3 voters and 1 learner with a platform whose answers are lost
    And 2 services on 3 hosts each, under constant calls
    When an operator starts a wave over the pool by the command line
    And the first host reboots and the leader is killed
    And the platform's answers arrive again
    Then the wave is done within 60 s
    And each of the 6 hosts was rebooted once with no call or job running
    And every call was answered whole or truly not run
    And the command line shows 6 hosts done

  Scenario: A silent host is cordoned, rebooted by the platform, tried and proved
    Given a daemon with a platform that loses every other answer
    And 2 services on 3 hosts each, under constant calls
    When host "host-0-0" falls silent
    Then it is rebooted once by the repair within 20 s
    And it serves and is proved within 20 s
    And every call was answered whole
    And the repair told of "cordon", "reboot", "try", "return" and "prove"
