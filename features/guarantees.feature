Feature: What callers, targets and operators can rely on

  Background:
    Given four gateways in four zones, three engines and two services

  Scenario: 1. Every token comes exactly once
    Given a caller reads a report
    When its gateway dies after 6 tokens
    Then the response is complete and each token was received once

  Scenario: 2. Two generations are never mixed
    Given a caller reads a report
    And no engine accepts a prefix any more
    When its engine dies after 6 tokens
    Then the caller saw a new generation announced before its first token
    And the response is complete and each token was received once

  Scenario: 3. Each caller gets the response to its own request
    Given 8 callers read reports
    When messages of all gateways are reordered, repeated and delayed for 1 s
    Then each response is complete and belongs to its request

  Scenario: 3. A caller that reconnects to another gateway gets the rest of its response
    Given a caller reads a report
    When its gateway is isolated from the other gateways after 6 tokens
    Then the response is complete and each token was received once

  Scenario: 4. A request refused as not run was not run
    Given control cannot be reached for 6 s
    When a caller asks for a report
    Then it is refused as not run
    And no engine ran it

  Scenario: 5. An unrepeatable call runs at most once
    Given a caller sends a dispatch
    When its gateway pauses before the first byte until the permit has expired
    Then the dispatch ran at most once

  Scenario: 6. A leaving target gets no new work
    Given an engine begins to leave and its announcements reach only one gateway
    When callers ask for reports every 0.2 s during 6 s
    Then the engine got no work later than 3 s after it began to leave

  Scenario: 7. A graceful shutdown cuts off nothing
    Given a caller reads a report
    When its gateway is told to shut down after 6 tokens
    Then the response is complete over one connection
    And the gateway exits by itself within 20 s

  Scenario: 8. A bundle is in force everywhere within 6 s
    Given a gateway is isolated from control and the other gateways
    When two operators race to roll a new bundle
    Then after 6 s no gateway admits work under the old bundle
    And no gateway ever returned to an older bundle

  Scenario: A second holder is lost right after the first was replaced
    Given a caller reads a long report
    When one holder dies and, once it is replaced, the owner dies
    Then the response is complete and each token was received once

  Scenario: All holders of a durable request are lost
    Given a caller reads a digest
    When all gateways with its journal lose their memory after 6 tokens
    Then the caller saw a new generation announced before its first token
    And the response is complete and each token was received once
