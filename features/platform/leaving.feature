Feature: A target that leaves takes no later one with it

  # Guards against runs that are started twice: the start of a target under its old name
  # was ended by the leave of the one before, while its runs went on.
  Scenario Outline: A <state> target with the same name has started, and a leave <what>
    Given a core machine that knows a <state> target started at 2000
    When a leave of its name arrives with the body <body>
    Then the leave is acknowledged, and the target <outcome>

    Examples:
      | state    | what                         | body                             | outcome   |
      | ready    | is of the former one         | {"born":1000,"state":"draining"} | stays     |
      | draining | is of the former one         | {"born":1000,"state":"draining"} | stays     |
      | ready    | is its own                   | {"born":2000,"state":"draining"} | is ended  |
      | draining | doesn't say when it started  | {"state":"draining"}             | is ended  |
      | draining | says a start that is no time | {"born":"early"}                 | is ended  |
      | draining | is empty                     | nothing                          | is ended  |
      | draining | can't be read                | {"born                           | is ended  |
      | ready    | doesn't say when it started  | {"state":"draining"}             | is called |
      | ready    | is empty                     | nothing                          | is called |
      | ready    | can't be read                | {"born                           | is called |
