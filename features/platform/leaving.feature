Feature: A target that leaves takes no later one with it

  # Guards against runs that are started twice: the start of a target under its old name
  # was ended by the leave of the one before, while its runs went on.
  Scenario Outline: A target with the same name has started, and a leave arrives that <what>
    Given a core machine that knows a target started at 2000
    When a leave of its name arrives with the body <body>
    Then the leave is acknowledged, and the target <outcome>

    Examples:
      | what                         | body                                | outcome  |
      | is of the former one         | {"born":1000,"state":"draining"}    | stays    |
      | is its own                   | {"born":2000,"state":"draining"}    | is ended |
      | doesn't say when it started  | {"state":"draining"}                | is ended |
      | says a start that is no time | {"born":"early"}                    | is ended |
      | is empty                     | nothing                             | is ended |
      | can't be read                | {"born                              | is ended |
