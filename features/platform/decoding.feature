Feature: What the platform writes is decoded once, and strictly where it counts

  Scenario: A manifest becomes queues, pools and teams
    When the example manifest is decoded
    Then queue "plans" serves "rounds.example" under "/plans/" from pool "rounds"
    And team "dispatch" holds key "key-1" and may run 9000 thousandths of a core
    And pool "office" is spare

  Scenario Outline: A manifest is invalid that <fault>
    When the example manifest is decoded with <change>
    Then it is refused

    Examples:
      | fault                            | change                                    |
      | is cut short                     | half of its text                          |
      | has no version                   | "version" left out                        |
      | has a version that is a text     | "version" set to "7"                      |
      | names an unknown service         | "routes.0.service" set to "nowhere"       |
      | has two routes at one place      | "routes.1.path_prefix" set to "/plans/"   |
      | has a timeout of 0               | "routes.0.timeout_ms" set to 0            |
      | has a route without a timeout    | "routes.0.timeout_ms" left out            |
      | lets two tenants share a key     | "tenants.1.api_keys" set to ["key-1"]     |
      | has routes that are no list      | "routes" set to 3                         |
      | has a tenant without a name      | "tenants.0.name" left out                 |

  Scenario Outline: A manifest is valid with <what>
    When the example manifest is decoded with <change>
    Then it is accepted

    Examples:
      | what                 | change                          |
      | a field that is new  | "something" set to 1            |
      | no tenants           | "tenants" left out              |
      | a public route       | "routes.0.public" set to true   |

  Scenario Outline: A status report names no target that <fault>
    When the example status report is decoded with <change>
    Then it is refused

    Examples:
      | fault                       | change                          |
      | cannot be read              | half of its text                |
      | has no address              | "address" left out              |
      | has an address without port | "address" set to "10.0.0.1"     |
      | has an unknown state        | "state" set to "resting"        |
      | has a sequence in text      | "sequence" set to "4"           |
      | has a birth with a fraction | "born" set to 1.5               |
      | has no capacity             | "capacity" left out             |
      | has labels that are no list | "labels" set to "a"             |

  Scenario: A status report becomes a target
    When the example status report is decoded
    Then it is target "i-1" of pool "rounds" on host "m-1" in rack "r1-3", not draining
    When the example status report is decoded with "state" set to "draining"
    Then it is target "i-1" of pool "rounds" on host "m-1" in rack "r1-3", draining

  Scenario: A job becomes steps
    When the example job is decoded
    Then step 0 has 4 tasks of 500 thousandths of a core and 256 MB near rack "r1-3"
    And step 1 comes after step 0 and saves checkpoints

  Scenario Outline: A job is refused that <fault>
    When the example job is decoded with <change>
    Then it is refused

    Examples:
      | fault                       | change                       |
      | cannot be read              | half of its text             |
      | has no text                 | "task_spec" left out         |
      | has steps that are no list  | "steps" set to 3             |
      | has a size in words         | "steps.0.cpu" set to "much"  |
      | names a later step          | "steps.0.after" set to [1]   |
      | names itself                | "steps.1.after" set to [1]   |
      | has a step without tasks    | "steps.0.count" set to 0     |

  Scenario Outline: Settings that lack <field> are named, those that are new are ignored
    When the example settings are read without <field>
    Then the error names <field>

    Examples:
      | field          |
      | node_name      |
      | internal_ports |
      | seeds          |

  Scenario: Names of tasks go there and back
    Then 200 names of tasks are read back as they were written

  Scenario Outline: An answer of the advisor that <what>
    When the advisor answers <status> with <body>
    Then the tickets are <tickets>

    Examples:
      | what                      | status | body                                    | tickets  |
      | grants some               | 200    | {"good": [["i-1", "t1"], ["i-2", "t2"]]} | i-1 i-2 |
      | grants none               | 200    | {"good": []}                            | none     |
      | names one not asked about | 200    | {"good": [["i-9", "t9"], ["i-2", "t2"]]} | i-2     |
      | is a refusal              | 429    | {}                                      | unknown  |
      | cannot be read            | 200    | {"good": [["i-1"                        | unknown  |
      | lacks its rows            | 200    | {"validity_ms": 3000}                   | unknown  |
      | has rows of another form  | 200    | {"good": [7]}                           | unknown  |
      | does not come             | 0      | nothing                                 | unknown  |

  Scenario Outline: A row of the cloud's list that <what>
    When the cloud lists host "m-1", and "m-2" with <change>
    Then the hosts read are <hosts>, and <unread> rows are not

    Examples:
      | what                          | change                     | hosts            | unread |
      | tells of a host that is down  | "state" set to "down"      | m-1 up, m-2 down | 0      |
      | names a new state             | "state" set to "resting"   | m-1 up           | 1      |
      | has no capacity               | "capacity" left out        | m-1 up           | 1      |
      | has a pool, but no host       | "machine" left out         | m-1 up           | 1      |
      | has labels that are a number  | "labels" set to 3          | m-1 up           | 1      |
      | names no target               | "id" set to ""             | m-1 up, m-2 up   | 0      |
