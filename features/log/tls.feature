Feature: Daemons talk over mutual TLS

  Background:
    Given an authority and daemon "v1" that listens with its certificate

  Scenario Outline: Only the right certificate gets in
    When daemon "v2" dials with <certificate>
    Then they are connected: <connected>

    Examples:
      | certificate                        | connected |
      | its certificate                    | yes       |
      | no TLS at all                      | no        |
      | a certificate of another authority | no        |
      | an outdated certificate            | no        |
      | the certificate of "v3"            | no        |

  Scenario: A renewed authority and certificate work without a restart
    When the authority and the certificate of "v1" are replaced
    And daemon "v2" dials with a certificate of the new authority
    Then they are connected: yes

  Scenario: A faulty renewal keeps the earlier certificate
    When the certificate file of "v1" becomes garbage
    And daemon "v2" dials with its certificate
    Then they are connected: yes
