Feature: The soak's check of the limit on unavailable tasks

  Scenario Outline: A stop after a cancellation without an answer is taken for planned work
    Given three long-running tasks at work, of which one may be unavailable
    When <event>
    And two of them are stopped
    Then <problems> of the stops is reported as above the limit

    Examples:
      | event                                            | problems |
      | nothing is cancelled                             | one      |
      | the cancellation of another job is sent          | one      |
      | the cancellation of their job is sent            | none     |
      | the cancellation of their job is acknowledged    | none     |
