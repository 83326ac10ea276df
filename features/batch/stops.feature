Feature: A run that may still be stopped does not count as at work

  # Guards against a wave that stops more tasks of a step than may be away (AVAIL).
  Scenario Outline: A long-running task is told to stop, and <what>
    Given an idle fleet, and a long-running task at work
    And it is told to stop, and <what>
    Then it is not counted as at work until it has ended

    Examples:
      | what                                                               |
      | that takes effect 5 seconds later without an answer                |
      | it is told again before the first order turns out not to be sent   |
      | the leader loses its lease for 0.2 seconds before that takes effect |
      | the leader loses its lease twice before that takes effect          |

  Scenario: A long-running task is told to stop, and the order is not sent
    Given an idle fleet, and a long-running task at work
    And it is told to stop, and the order is not sent
    Then it is counted as at work a second later
