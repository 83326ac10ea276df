Feature: Late and repeated announcements, and operators who race

  Background:
    Given a state with two of everything

  Scenario Outline: A target that leaves is not revived by a late announcement
    When target "a" of instance "one" is announced by key "a"
    And target "a" leaves
    And target "a" of instance "<instance>" is announced by key "a"
    Then target "a" is "<phase>"

    Examples:
      | instance | phase   |
      | one      | leaving |
      | two      | serving |

  Scenario: Another team's target does not take over a name
    When target "a" of instance "one" is announced by key "a"
    And target "a" for service "b" is announced by key "b"
    Then the command is refused with "exists"
    And target "a" is "serving"

  Scenario Outline: A bad announcement is refused with its place
    When target "c" is announced with <field> <value>
    Then the command is refused with "bad-request"
    And the refusal names "<field>"

    Examples:
      | field       | value  |
      | slots       | 0      |
      | connections | 0      |
      | port        | 70000  |
      | port        | -1     |

  Scenario: Two operators move one host
    When host "a" is moved from pool "a" to pool "b"
    And host "a" is moved from pool "a" to pool "c"
    Then the command is refused with "conflict"
    And host "a" belongs to pool "b"

  Scenario: A team with unfinished jobs stays
    When team "a" without services is removed
    Then the command is refused with "in-use"
