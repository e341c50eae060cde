Feature: Accepted rules come into force and stay in force

  Background:
    Given a deployment of 2 data centres with 3 daemons and 2 engines

  Scenario: Two operators edit the rules at the same time
    When two operators add these rules at once: "kind=arrears target=ruling-model # branch staff, arrears at the till" and "kind=status target=ledger # portal, status lookups"
    Then every rule that was accepted is in force at every daemon
    And every promise holds

  Scenario: Operators edit the rules while the key-value service is down
    When the key-value service is down
    And two operators add these rules at once: "kind=arrears target=ruling-model # branch staff, arrears at the till" and "kind=status target=ledger # portal, status lookups"
    Then 0 rules were accepted
    And the rules in force are those of before
    When the key-value service is back
    Then every promise holds
