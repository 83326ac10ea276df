Feature: Capacity decisions are fair, work-conserving and bounded

  Scenario Outline: Fair division of slots
    Given a fleet of <slots> slots
    When teams with weights <weights> ask for <demands> tasks
    Then they get <tasks> tasks

    Examples:
      | slots | weights | demands   | tasks    |
      | 10    | 1 1     | 20 20     | 5 5      |
      | 10    | 4 1     | 20 20     | 8 2      |
      | 10    | 4 1     | 3 20      | 3 7      |
      | 10    | 1 1 1   | 1 20 20   | 1 4.5 4.5 |
      | 10    | 1 1     | 2 3       | 2 3      |
      | 10    | 1 1     | 0 30      | 0 10     |

  Scenario: The dominant resource counts where resources differ
    Given a fleet of 100 slots, 9 processors and 18 MB
    When one team's tasks take 1 processor and 4 MB, and another's 3 and 1
    Then the first gets 3 tasks and the second 2

  Scenario Outline: Properties of shares
    Then shares keep the property "<property>"

    Examples:
      | property                                         |
      | never more than the capacity                     |
      | nothing idle while a team wants it               |
      | a higher weight never gives less                 |
      | a team that splits its work gains nothing        |
      | asking for more than is needed gains nothing     |
      | nobody gets less than its weighted part          |

  Scenario Outline: Properties of queues
    Then queues keep the property "<property>"

    Examples:
      | property                                       |
      | the index agrees with a scan                   |
      | every job runs in the end                      |
      | an on-off team does not starve a small one     |

  Scenario Outline: The next job of a team
    Given a team with <urgent> urgent jobs and an ordinary job that has waited <waited> s
    When <picks> jobs are picked
    Then <ordinary> of them are ordinary

    Examples:
      | urgent | waited | picks | ordinary |
      | 8      | 10     | 8     | 0        |
      | 8      | 700    | 3     | 0        |
      | 8      | 700    | 4     | 1        |

  Scenario: Urgency beyond its share gains a team nothing
    Given team "loud" is above its share and has only urgent jobs
    And team "calm" is below its share and has ordinary jobs
    Then the next job is one of team "calm"

  Scenario Outline: Slots held for urgent jobs
    Then of <slots> slots with jobs of <run> s, <rate> urgent jobs a second and <stoppable> stoppable jobs, <reserve> are held

    Examples:
      | slots | run | rate | stoppable | reserve |
      | 64    | 2   | 1    | 0         | 0       |
      | 64    | 600 | 0    | 0         | 0       |
      | 64    | 600 | 0.01 | 0         | 2       |
      | 64    | 600 | 0.01 | 5         | 0       |
      | 64    | 600 | 10   | 0         | 8       |
      | 4     | 600 | 10   | 0         | 1       |

  Scenario Outline: Placement
    Given hosts
      | host | zone | rack | processors | accelerators | used | jobs | unseen | borrowed |
      | h1   | a    | a1   | 16         | 0            | 0    | 0    | 0      | no       |
      | h2   | a    | a1   | 16         | 0            | 12   | 3    | 0      | no       |
      | h3   | b    | b1   | 16         | 2            | 0    | 0    | 0      | no       |
      | h4   | b    | b1   | 64         | 0            | 0    | 0    | 0      | yes      |
      | h5   | a    | a2   | 8          | 0            | 4    | 2    | 2      | no       |
    When a job of <processors> processors and <accelerators> accelerators, measured "<seen>", comes to a team with jobs in "<zones>"
    Then it goes to "<host>"

    Examples:
      | processors | accelerators | seen | zones | host |
      | 4          | 0            | yes  |       | h2   |
      | 5          | 0            | yes  |       | h5   |
      | 5          | 0            | no   |       | h2   |
      | 2          | 1            | yes  |       | h3   |
      | 4          | 0            | yes  | a a   | h3   |
      | 30         | 0            | yes  |       | h4   |

  Scenario: A job that no host can hold is told what it needs
    Given hosts
      | host | zone | rack | processors | accelerators | used | jobs | unseen | borrowed |
      | h1   | a    | a1   | 16         | 0            | 0    | 0    | 0      | no       |
    Then a job of 40 processors is refused with "needs a host with 40 processors and 256 MB; the largest has 16 processors"

  Scenario Outline: Sizes are corrected by usage
    Given a job declared with <declared> processors
    When its use of <used> processors is reported <times> times
    Then its size is between <least> and <most> processors

    Examples:
      | declared | used | times | least | most |
      | 40       | 4    | 0     | 40    | 40   |
      | 40       | 4    | 1     | 20    | 40   |
      | 40       | 4    | 20    | 4     | 4.8  |
      | 0.4      | 4    | 20    | 4     | 4.8  |
      | 0        | 4    | 0     | 1     | 1    |

  Scenario Outline: Workers that fail
    Given 8 workers that each ended 10 jobs, of which <failed> failed on the first and <others> on each other
    And each failed job <elsewhere>
    Then <count> workers are quarantined

    Examples:
      | failed | others | elsewhere                | count |
      | 10     | 0      | was completed elsewhere  | 1     |
      | 10     | 10     | was completed elsewhere  | 0     |
      | 10     | 0      | failed everywhere        | 0     |
      | 2      | 0      | was completed elsewhere  | 0     |

  Scenario: A quarantined worker comes back by trial
    Given a worker in quarantine since 0 s
    Then it may not be tried at 5 s
    And it may be tried at 10 s
    When its trial fails at 10 s
    Then it may not be tried at 29 s
    When its trial goes well at 30 s
    And its trial goes well at 31 s
    Then it is released

  Scenario Outline: A burst is served in the cheapest way
    When <missing> slots are missing for <lasts> s, <lendable> can be lent and <hosts> hosts moved in <move> s, at <price> a move
    Then the burst is served by "<option>"

    Examples:
      | missing | lasts | lendable | hosts | move | price | option |
      | 16      | 6     | 16       | 2     | 60   | 10    | lend   |
      | 16      | 6     | 0        | 2     | 60   | 10    | wait   |
      | 16      | 3600  | 0        | 2     | 60   | 10    | move   |
      | 16      | 3600  | 0        | 2     | 60   | 90000 | wait   |
      | 16      | 3600  | 16       | 2     | 60   | 10    | lend   |

  Scenario Outline: The buffer follows promise and price
    Then with <promised> promised hosts in a zone's loss and a host price of <price>, the buffer holds <hosts> hosts

    Examples:
      | promised | price | hosts |
      | 0        | 1000  | 0     |
      | 3        | 1000  | 3     |
      | 0        | 0.001 | 8     |

  Scenario Outline: Hosts move by mean demand, with hysteresis
    Given a pool of 8 hosts with a mean demand of <mean> slots, changed <since> s ago
    And an idle pool, and a spare pool of <spare> hosts for a buffer of 1
    Then <moves> hosts move, from "<giver>"

    Examples:
      | mean | since | spare | moves | giver |
      | 60   | 1000  | 2     | 1     | spare |
      | 60   | 1000  | 1     | 1     | idle  |
      | 60   | 100   | 2     | 0     |       |
      | 50   | 1000  | 2     | 0     |       |
      | 50   | 1000  | 0     | 1     | idle  |

  Scenario: A burst of seconds hardly moves the mean
    Given a pool with a mean demand of 20 slots over an hour
    When it asks for 100 slots for 6 s
    Then its mean demand is below 25 slots

  Scenario Outline: What is forgotten
    Given <jobs> jobs that ended <age> s ago with results of <kilobytes> kB each
    Then "<what>" is forgotten

    Examples:
      | jobs | age  | kilobytes | what    |
      | 10   | 60   | 1         | nothing |
      | 10   | 4000 | 1         | jobs    |
      | 40   | 60   | 1000      | results |

  Scenario Outline: How long it is known that something must not be repeated
    Given a <kind> that must not be repeated and ended <age> s ago
    When what is over is forgotten
    Then its record of the <kind> is <fate>

    Examples:
      | kind        | age   | fate      |
      | job         | 4000  | kept      |
      | job         | 86500 | forgotten |
      | reservation | 4000  | kept      |
      | reservation | 86500 | forgotten |

  Scenario Outline: Whose job makes room for an urgent one
    Given team "urgent" runs <runs> of a fair 5 and has an urgent job waiting
    And team "over" runs <over> of a fair 5
    Then a job of team "<victim>" is asked to stop

    Examples:
      | runs | over | victim |
      | 2    | 8    | over   |
      | 2    | 5    | over   |
      | 5    | 8    | urgent |
      | 8    | 4    | urgent |

  Scenario Outline: Reclaiming keeps to what the service document allows
    Given team "over" runs 10 of a fair 5, and team "under" runs 0 and has 5 jobs waiting for <waited> ms
    And the running jobs allow "<orders>", were stopped <stops> times and wait since <age> s
    Then <count> jobs are asked to "<order>"

    Examples:
      | waited | orders              | stops | age  | count | order      |
      | 5000   | checkpoint stop     | 0     | 10   | 5     | checkpoint |
      | 5000   | stop                | 0     | 10   | 5     | stop       |
      | 5000   | throttle            | 0     | 10   | 0     |            |
      | 5000   |                     | 0     | 10   | 0     |            |
      | 500    | stop                | 0     | 10   | 0     |            |
      | 5000   | stop                | 2     | 10   | 0     |            |
      | 5000   | stop                | 0     | 1000 | 0     |            |
