Feature: A daemon is set up, watched and reloaded without surprises

  Scenario Outline: Settings are checked whole: <place> = <value>
    When settings with <value> at "<place>" are checked
    Then the settings fault at "<fault>" says "<problem>"

    Examples:
      | place                   | value                | fault                 | problem                          |
      | daemon.name             | "Entry 1"            | daemon.name           | lower-case letters               |
      | daemon.zone             | "a"                  | daemon.zone           | unknown; did you mean            |
      | listen.address          | "localhost"          | listen.address        | is no IP number                  |
      | listen.callers_port     | 70000                | listen.callers_port   | out of range: use 0 to 65535     |
      | listen.callers_port     | "80"                 | listen.callers_port   | '80' is not a whole number       |
      | listen.callers_port     | 7071                 | listen.operators_port | 7071 is already used by callers_port |
      | weights.moves           | -1                   | weights.moves         | out of range: use 0 to 1000000   |
      | timing.tick_s           | 0                    | timing.tick_s         | out of range: use 0.01 to 10     |
      | timing.target_lease_s   | true                 | timing.target_lease_s | true is not a number (seconds)   |
      | timing.tick_s           | 9.0                  | timing.target_lease_s | under 5 ticks: use 45 or more    |
      | timing.reboot_slow_s    | 1000.0               | timing.reboot_slow_s  | above reboot_timeout_s 900       |
      | operator.digest         | "zz"                 | operator.digest       | mulberryledged make-key          |
      | platform.url            | "10.0.0.9"           | platform.url          | is not an HTTP URL               |
      | logs.level              | "loud"               | logs.level            | use debug, info, warning, error  |

  Scenario: All faults of the settings come in one go
    When settings are checked with faults in three sections
    Then there are settings faults at "daemon.name, listen.callers_port, timing.tick_s, unheard"

  Scenario: A made key opens the operators' interface
    When an operators' key is made
    Then its text matches the section for the settings

  Scenario: Logs are JSON lines that hold no key and no body
    When a record with a key, a body and a failure is logged
    Then the line is JSON with daemon, term and index
    And the line holds neither the secret nor the body

  Scenario: Repeats are bounded and counted
    When the same warning is logged 50 times within a second and once 11 seconds later
    Then 6 lines are written and the last says that 45 were suppressed

  Scenario: Errors are never suppressed
    When the same error is logged 50 times within a second and once 11 seconds later
    Then 51 lines are written

  @daemon
  Scenario: Labels of metrics are bounded
    Given service "plans" with a success share of 0.9
    When 2000 calls by made-up teams to made-up services are observed
    Then the metrics have 1 service label and 1 team label more than the state
    And the metrics name the applied index and the freshness

  @daemon
  Scenario: Liveness, readiness and metrics answer without a key
    Then "/livez" answers 200, "/readyz" answers 200 and "/metrics" answers 200
    When the daemon begins to stop
    Then "/livez" answers 200, "/readyz" answers 503 and "/metrics" answers 200

  @daemon
  Scenario: Operators' routes answer only with the operators' key
    Then no operators' route answers without the key

  @process
  Scenario: A running daemon reloads its settings and stops whole
    Given a daemon process with a settings file
    When a key is given and a call is sent with it
    And the settings change "platform.url" and "listen.callers_port" and a hangup is sent
    Then the log says that "platform.url" is applied and "listen.callers_port" needs a restart
    When the settings get a fault and a hangup is sent
    Then the log says that the settings are not reloaded, with the place
    When the daemon process is told to stop
    Then it exits with 0
    And every line of its log is JSON, and no line holds a key or a body
