Feature: Input from the platform is decoded at the boundary, strictly where needed

  Scenario: A manifest becomes queues, pools and teams
    When the example manifest is decoded
    Then queue "plans" serves "rounds.example" under "/plans/" from pool "rounds"
    And team "dispatch" holds key "key-1" and may run 9000 millicores
    And pool "office" is spare

  Scenario Outline: A manifest is invalid that <fault>
    When the example manifest is decoded with <change>
    Then it is refused

    Examples:
      | fault                          | change                                  |
      | is cut short                   | half of its text                        |
      | has no version                 | "version" left out                      |
      | has a version that is a text   | "version" set to "7"                    |
      | names an unknown service       | "routes.0.service" set to "nowhere"     |
      | has two routes at one place    | "routes.1.path_prefix" set to "/plans/" |
      | has a timeout of 0             | "routes.0.timeout_ms" set to 0          |
      | has a route without a timeout  | "routes.0.timeout_ms" left out          |
      | has a key of two tenants       | "tenants.1.api_keys" set to ["key-1"]   |
      | has routes that are not a list | "routes" set to 3                       |
      | has an infinite stretch        | "routes.0.stretch" set to 1e400         |
      | has a negative limit           | "tenants.0.upper_limit.cpu" set to -1   |
      | has a tenant without a name    | "tenants.0.name" left out               |

  Scenario Outline: A manifest is valid with <what>
    When the example manifest is decoded with <change>
    Then it is accepted

    Examples:
      | what             | change                        |
      | an unknown field | "something" set to 1          |
      | no tenants       | "tenants" left out            |
      | a public route   | "routes.0.public" set to true |

  Scenario Outline: A status report is invalid that <fault>
    When the example status report is decoded with <change>
    Then it is refused

    Examples:
      | fault                            | change                      |
      | cannot be decoded                | half of its text            |
      | has no address                   | "address" left out          |
      | has an address without port      | "address" set to "10.0.0.1" |
      | has an unknown state             | "state" set to "resting"    |
      | has a sequence that is a text    | "sequence" set to "4"       |
      | has a start time with a fraction | "born" set to 1.5           |
      | has no capacity                  | "capacity" left out         |
      | has labels that are not a list   | "labels" set to "a"         |
      | has a port out of range          | "address" set to "10.0.0.1:70000" |
      | has a port of 0                  | "address" set to "10.0.0.1:0" |
      | has an address that is no IP     | "address" set to "somewhere:80" |
      | has a sequence of 20 digits      | "sequence" set to 10000000000000000000 |
      | has a negative start time        | "born" set to -1            |
      | has a clock below 0              | "clock_ms" set to -1        |
      | has a host that is a number      | "machine" set to 7          |
      | has an empty service             | "service" set to ""         |

  Scenario: A status report becomes a target
    When the example status report is decoded
    Then it is target "i-1" of pool "rounds" on host "m-1" in rack "r1-3", not draining
    When the example status report is decoded with "state" set to "draining"
    Then it is target "i-1" of pool "rounds" on host "m-1" in rack "r1-3", draining

  Scenario: A job becomes steps
    When the example job is decoded
    Then step 0 has 4 tasks of 500 millicores and 256 MB near rack "r1-3"
    And step 1 comes after step 0 and saves checkpoints

  Scenario Outline: A job is refused that <fault>
    When the example job is decoded with <change>
    Then it is refused

    Examples:
      | fault                         | change                      |
      | cannot be decoded             | half of its text            |
      | has no task specification     | "task_spec" left out        |
      | has steps that are not a list | "steps" set to 3            |
      | has a size that is a text     | "steps.0.cpu" set to "much" |
      | names a later step            | "steps.0.after" set to [1]  |
      | names itself                  | "steps.1.after" set to [1]  |
      | has a step without tasks      | "steps.0.count" set to 0    |
      | requests less than nothing    | "steps.0.cpu" set to -5     |
      | has a number as a text        | "steps.0.cpu" set to "500"  |
      | requests a fraction           | "steps.0.cpu" set to 0.5    |
      | requests an infinite amount   | "steps.0.cpu" set to 1e400  |
      | requests more than can be     | "steps.0.cpu" set to 1000000000000000000000 |
      | has true as a number          | "steps.0.cpu" set to true   |
      | has a text as a truth value   | "steps.0.gang" set to "false" |
      | has a number as a label       | "steps.0.requirements" set to 7 |
      | has steps that are null       | "steps.1" set to null       |
      | runs less often than never    | "repeat_count" set to -1    |
      | has half a surrogate pair     | "task_spec" set to "\ud800" |

  Scenario: The refusal of a job names the field and the value
    When the example job is decoded with "steps.1.cpu" set to "much"
    Then it is refused
    And the reason has "steps[1]", "cpu" and "much"

  Scenario Outline: Whatever stands in a field of a <what>, it is accepted or refused
    Then 400 random changes of the example <what> are accepted or refused
    And 200 random texts are accepted or refused as a <what>

    Examples:
      | what          |
      | job           |
      | status report |
      | manifest      |
      | wave          |
      | list of runs  |
      | list of hosts |
      | list of tickets |

  Scenario Outline: A wave is invalid that <fault>
    When the example wave is decoded with <change>
    Then it is refused

    Examples:
      | fault                    | change                        |
      | has no number            | "wave" left out               |
      | allows no host           | "upper_limit" set to 0        |
      | never ends               | "duration_s" set to 1e400     |
      | has no time              | "duration_s" set to 0         |
      | has a host without name  | "machines" set to ["m-1", ""] |

  Scenario Outline: Settings that lack <field> are refused, unknown ones are ignored
    When the example settings are read without <field>
    Then the error names <field>

    Examples:
      | field          |
      | node_name      |
      | internal_ports |
      | seeds          |

  Scenario: Names of tasks survive encoding and decoding
    Then 200 names of tasks decode to the task that they encode

  Scenario Outline: An advisor response that <what>
    When the advisor answers <status> with <body>
    Then the tickets are <tickets>

    Examples:
      | what                         | status | body                                     | tickets |
      | grants two tickets           | 200    | {"good": [["i-1", "t1"], ["i-2", "t2"]]} | i-1 i-2 |
      | grants no tickets            | 200    | {"good": []}                             | none    |
      | names a target not requested | 200    | {"good": [["i-9", "t9"], ["i-2", "t2"]]} | i-2     |
      | is a refusal                 | 429    | {}                                       | unknown |
      | cannot be decoded            | 200    | {"good": [["i-1"                         | unknown |
      | lacks its rows               | 200    | {"validity_ms": 3000}                    | unknown |
      | has rows of another type     | 200    | {"good": [7]}                            | unknown |
      | never arrives                | 0      | nothing                                  | unknown |

  Scenario Outline: A row of the cloud's host list that <what>
    When the cloud lists host "m-1", and "m-2" with <change>
    Then the hosts read are <hosts>, and <undecoded> rows are skipped

    Examples:
      | what                         | change                   | hosts            | undecoded |
      | reports a host that is down  | "state" set to "down"    | m-1 up, m-2 down | 0         |
      | has an unknown state         | "state" set to "resting" | m-1 up           | 1         |
      | has no capacity              | "capacity" left out      | m-1 up           | 1         |
      | has a pool, but no host name | "machine" left out       | m-1 up           | 1         |
      | has labels that are a number | "labels" set to 3        | m-1 up           | 1         |
      | has a list in place of a pool | "pool" set to ["rounds"] | m-1 up          | 1         |
      | has a capacity of 20 digits  | "capacity.cpu" set to 10000000000000000000 | m-1 up | 1 |
      | has an empty target name     | "id" set to ""           | m-1 up, m-2 up   | 0         |

  # Guards against tasks that run twice: a list cut at its limit taken for complete.
  Scenario Outline: A list of <count> ends <completeness>
    When a target lists <count> ends
    Then the view is <completeness>

    Examples:
      | count | completeness |
      | 0     | complete     |
      | 499   | complete     |
      | 500   | incomplete   |

  # Guards against runs ended as lost while the list of hosts has unread pages.
  Scenario Outline: A list of <pages> pages of hosts
    When the cloud lists its hosts on <pages> pages
    Then the list of hosts is <completeness>

    Examples:
      | pages | completeness |
      | 200   | complete     |
      | 201   | incomplete   |
