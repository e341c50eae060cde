Feature: Postings run at most once

  Background:
    Given a deployment of 2 data centres with 3 daemons and 2 engines

  Scenario: A daemon is killed before it responds, and the caller retries
    When 1 callers send a posting
    And the ledger is running a posting
    And the daemon of the first posting is killed
    Then every posting is told "ran"
    And the ledger has run 1 postings
    And every promise holds

  Scenario: The response to a claim write is lost and the daemon is killed
    When a posting's claim is written, its answer lost
    And the daemon of the first posting is killed
    Then every promise holds

  Scenario: The key-value service is down
    When the key-value service is down
    And 3 callers send a posting once
    And 3 callers stream an answer
    Then every posting is told "notRun"
    And the ledger has run 0 postings
    And every caller has its whole answer
    And the rules in force are those of before
    When the key-value service is back
    And 3 callers send a posting
    Then every posting is told "ran"
    And the ledger has run 3 postings
    And every promise holds
