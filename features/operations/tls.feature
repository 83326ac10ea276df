@tls
Feature: The operators' port can demand a certificate

  Background:
    Given a daemon whose operators' port speaks TLS, and an operator of its authority

  Scenario: A certificate of the authority and the key are let in
    When the operator runs "pool create interior" over TLS
    Then the exit code is 0

  Scenario Outline: <who> gets in nowhere
    When <who> runs "pool list" over TLS
    Then the exit code is not 0 and no pool is shown

    Examples:
      | who                                  |
      | an operator without a certificate    |
      | an operator of another authority     |
      | an operator who speaks plain HTTP    |
      | an operator with a wrong key         |
