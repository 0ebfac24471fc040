Feature: Operators change the configuration
  A bundle is written, approved by another person and rolled.
  Operators may race each other, lose an answer and resend a command.

  Scenario: Two writers race for the same version
    Given a system with version 1 in force
    When wren and will write different contents of version 2 at the same time
    Then exactly one of them succeeds
    And the other gets the winner's name and digest
    And version 2 has the winner's content at every later read

  Scenario: A writer resends after a lost answer
    Given a system with version 1 in force
    When the answer to wren's write of version 2 is lost
    Then wren gets the first result for the same operation id
    And the audit trail has one write of version 2

  Scenario: An operator resends a roll after a later roll
    Given a system with version 1 in force
    When olga rolls version 2 with the operation id "second"
    And olga rolls version 3 with the operation id "third"
    And olga rolls version 2 with the operation id "second"
    Then the last answer carries serial 2
    And version 3 is in force with serial 3

  Scenario Outline: The approver is not the writer
    Given a system with version 1 in force
    When <writer> writes version 2
    And <approver> approves version 2
    Then the last answer is <code>

    Examples:
      | writer | approver | code               |
      | wren   | amos     | OK                 |
      | olga   | omar     | OK                 |
      | olga   | olga     | APPROVER_IS_WRITER |
      | wren   | will     | NOT_PERMITTED      |

  Scenario: A roll to an older version is refused
    Given a system with version 1 in force
    When olga rolls version 2 with the operation id "second"
    And olga rolls version 1 with the operation id "back"
    Then the last answer is STALE_SERIAL
    And version 2 is in force with serial 2
