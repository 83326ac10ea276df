Feature: The replicated state of jobs is the same on every replica

  Scenario: A snapshot after random change sets holds the complete state
    Then in 60 random histories a restored replica has the same state and derived state
    And a change set that was planned in another term changes nothing

  Scenario Outline: <what>
    Given a job of two steps with two tasks each and 3 attempts, and two targets
    When <events>
    Then the job is <phase>
    And step 0 has idle tasks <first> and step 1 <second>

    Examples:
      | what                                            | events                                             | phase     | first | second |
      | No task has been started                        | nothing happens                                    | queued    | 0 1   | none   |
      | A task runs                                     | task 0.0 starts                                    | running   | 1     | none   |
      | A step is done                                  | task 0.0 and 0.1 start and are done                | running   | none  | 0 1    |
      | All steps are done                              | all tasks start and are done                       | completed | none  | none   |
      | A task fails once                               | task 0.0 starts and fails                          | running   | 0 1   | none   |
      | A task fails on its last attempt                | task 0.0 starts and fails 3 times                  | failed    | none  | none   |
      | A task is refused, beyond its limit on failures | task 0.0 starts and is refused 5 times             | running   | 0 1   | none   |
      | A target is lost with its task                  | task 0.0 starts on target a, which is lost         | running   | 0 1   | none   |
      | A run completes after its lease expired         | task 0.0 starts, its lease expires, and it is done | running   | 1     | none   |
      | A start on a target that is gone                | task 0.0 starts on a target that is gone           | queued    | 0 1   | none   |
      | A job is cancelled while it runs                | task 0.0 starts and the job is cancelled           | cancelled | none  | none   |

  Scenario: A job that is submitted again stays one job
    Given a job of two steps with two tasks each and 3 attempts, and two targets
    When task 0.0 starts
    And the same job is submitted again
    Then the job is running
    And step 0 has idle tasks 1 and step 1 none

  Scenario: The members of a gang end together and fail together
    Given a gang of three tasks with 2 attempts, and two targets
    When the gang starts and one member is done
    Then the job is completed
    Given a gang of three tasks with 2 attempts, and two targets
    When the gang starts, one member fails and the others are aborted, twice
    Then the job is failed

  # Guards against gangs whose members resume from different states and never work.
  Scenario Outline: The members of a gang resume from one checkpoint when <what>
    Given a gang of three tasks with 2 attempts, and two targets
    When the gang starts, and its members end with checkpoints <first>
    And it starts again, and its members end with checkpoints <second>
    Then all members resume from "<checkpoint>"
    And a restored replica knows the same

    Examples:
      | what                               | first       | second      | checkpoint |
      | one member is lost without any     | none one two | none none none | one    |
      | each member has one of its own     | one two three | none none none | one   |
      | one member has one of an older run | one two three | none four none | four  |
      | no member has any                  | none none none | none none none |       |

  Scenario: A checkpoint of an earlier run that is listed late is not used
    Given a gang of three tasks with 2 attempts, and two targets
    When the gang starts, and its members end with checkpoints one none none
    And it starts again, and its members end with checkpoints two none none
    And the end of its first run is listed again with checkpoint "late"
    Then all members resume from "two"

  Scenario: A later incarnation of a target ends the earlier one
    Given a job of two steps with two tasks each and 3 attempts, and two targets
    When task 0.0 starts on target a, which restarts as a later incarnation
    Then the job is running
    And step 0 has idle tasks 0 1 and step 1 none
    When an earlier incarnation of target a is announced late
    Then the later incarnation of target a is current

  # Guards against processes that end while they apply a committed change.
  Scenario Outline: A target that announces <what> leaves no trace once it has left
    Given a job of two steps with two tasks each and 3 attempts, and two targets
    When target a announces <what>, leaves, and a later target starts on its host
    Then the later target is current
    And a restored replica knows the same

    Examples:
      | what            |
      | no host         |
      | another host    |
      | another address |

  Scenario: Occurrences become ready separately
    Given a job with three occurrences
    When two occurrences become due
    Then it has two occurrences with idle tasks, and is not complete
    When all occurrences become due and all their tasks are done
    Then the job is completed

  Scenario Outline: <what>
    Given a job of two steps with two tasks each and 3 attempts, and two targets
    When target a announces as number 5 that it drains
    And <events>
    Then target a is <state>
    And a restored replica knows the same

    Examples:
      | what                                                         | events                                        | state    |
      | A delayed announcement does not end the draining of a target | it announces as number 4 that it is ready     | draining |
      | A later announcement ends the draining of a target           | it announces as number 6 that it is ready     | ready    |
      | A target that has left does not return                       | it leaves and announces that it is ready      | gone     |
      | A target that restarts after it has left returns             | it leaves and restarts as a later incarnation | ready    |
