Feature: A cluster of real daemons keeps its state whatever fails

  Background:
    Given a cluster of 3 voters and 1 learners

  Scenario: The leader is killed under writes
    When 40 pools are created through all daemons and the leader is killed after 15
    Then every acknowledged pool is on every daemon that runs
    And no pool is there that was never asked for
    When the killed daemon starts again
    Then every acknowledged pool is on every daemon that runs

  Scenario: A follower is killed and its disk wiped
    When a follower is killed and its data folder removed
    And pool "while-gone" is created
    And the killed daemon starts again
    Then every acknowledged pool is on every daemon that runs
    And the wiped daemon votes neither under its old name nor its new folder
    When the wiped daemon is demoted and promoted again
    And the leader is killed
    And pool "after-repair" is created
    Then every acknowledged pool is on every daemon that runs

  Scenario: A stopped leader hands over, and all restart after hundreds of changes
    When the leader is stopped
    Then its log says that it stopped, and the next leader's term is one higher
    And every daemon that runs is ready without a pause
    When 300 pools are created
    And every daemon is killed and started again
    Then every acknowledged pool is on every daemon that runs

  Scenario: A paused leader wakes up
    When the leader is paused
    And pool "while-paused" is created
    And the paused daemon wakes up
    Then it never was ready again without pool "while-paused"
    And every acknowledged pool is on every daemon that runs

  Scenario: An isolated entry stops serving within its lease
    When all voters are paused
    Then every learner stops being ready within 3 seconds
    When the paused daemons wake up
    Then every daemon is ready again

  Scenario: A removed daemon is told so and disturbs nothing
    When daemon "e1" is removed
    Then daemon "e1" stops being ready within 3 seconds
    And the term stays the same for 2 seconds
    When daemon "e1" is added again
    Then every daemon is ready again
