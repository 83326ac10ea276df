Feature: Faults in the settings of the cluster are named with their places

  Scenario Outline: A fault is named
    When settings with <change> are checked
    Then the fault is at "<place>" and says "<problem>"

    Examples:
      | change                  | place                | problem                 |
      | no peers port           | listen.peers_port    | dial this port          |
      | no voter                | peers                | no daemon votes         |
      | its own name as a peer  | peers[0].name        | is taken                |
      | a host name             | peers[0].address     | is no IP number         |
      | port zero               | peers[0].port        | out of range            |
      | a certificate only      | tls.private_key      | missing                 |
      | a missing file          | tls.authority        | no such file            |

  Scenario: Good settings are good
    When settings with nothing wrong are checked
    Then there is no fault
