Feature: A jump of the time of day moves no timer

  # Guards against leaders, links and answers that stand still after a jump back.
  Scenario Outline: The time of day jumps by <seconds> seconds while a timer is set
    Given a program with a timer of 1 second, at whose start the time of day jumps by <seconds> seconds
    When the program runs
    Then the timer has fired after 0.9 to 2.5 seconds

    Examples:
      | seconds |
      | -3600   |
      | 3600    |
