/**
 * Measures the share of orders with a definite answer under faults: `node dist/measurements/orders.js`.
 *
 * @module
 */
import { type CallersOptions, startCallers } from "../standins/orders/callers.js";
import { createFabric, FABRIC_DEPLOYMENT, type FabricFaults } from "../standins/orders/fabric.js";
import { findViolations, type ReportedOutcome } from "../standins/orders/history.js";
import { measureOrderCost } from "./orders/cost.js";

const SEEDS = Array.from({ length: 20 }, (_, index) => 100 + index);
const HOSTS = 7;
const RUN_MILLISECONDS = 60_000;
const END_MILLISECONDS = 100_000;
/** Offset between the kill times of successive seeds, so that they cover the interval between two orders. */
const KILL_SPREAD_STEP_MILLISECONDS = 37;

const NO_FAULTS: FabricFaults = {
    dropShare: 0,
    duplicateShare: 0,
    slowShare: 0,
    clockSkewMilliseconds: 0,
    killsPerMinute: 0,
    pausesPerMinute: 0,
    leavesPerMinute: 0,
    plain: { refusedShare: 0, lostAnswerShare: 0, hangShare: 0 },
    store: { unreachable: "always", lostAnswerShare: 0 },
};
const CALLERS: CallersOptions = {
    orders: 280,
    intervalMilliseconds: 200,
    ticketShare: 1,
    duplicatedShare: 0.1,
    misdirectedShare: 0.3,
    reusedShare: 0,
    abandonedShare: 0.05,
};

interface Scenario {
    readonly name: string;
    readonly faults: FabricFaults;
    readonly ticketShare: number;
    /** When one of the seven hosts is killed; `undefined` for never. */
    readonly killAtMilliseconds?: number;
}

interface Figures {
    answered: number;
    notRun: number;
    mayHaveRunInFlight: number;
    mayHaveRunNothingInFlight: number;
    violations: number;
    orders: number;
    ordersAnswered: number;
    ordersIndefinite: number;
}

const LOSSY = { ...NO_FAULTS, dropShare: 0.01, duplicateShare: 0.05, slowShare: 0.01 };
const PLAIN_SERVICE_FAULTS = { refusedShare: 0.03, lostAnswerShare: 0.03, hangShare: 0.03 };
const SCENARIOS: readonly Scenario[] = [
    { name: "tickets, service down", faults: NO_FAULTS, ticketShare: 1 },
    { name: "tickets, service down, one host dies", faults: NO_FAULTS, ticketShare: 1, killAtMilliseconds: 20_000 },
    {
        name: "tickets, as before, messages lost and doubled",
        faults: LOSSY,
        ticketShare: 1,
        killAtMilliseconds: 20_000,
    },
    {
        name: "tickets, as before, plain service fails",
        faults: { ...LOSSY, plain: PLAIN_SERVICE_FAULTS },
        ticketShare: 1,
        killAtMilliseconds: 20_000,
    },
    {
        name: "tickets, a host dies every 10 s, others pause",
        faults: { ...NO_FAULTS, killsPerMinute: 6, pausesPerMinute: 6 },
        ticketShare: 1,
    },
    { name: "tickets, 3 hosts a minute leave", faults: { ...NO_FAULTS, leavesPerMinute: 3 }, ticketShare: 1 },
    {
        name: "no tickets, service down at times",
        faults: { ...NO_FAULTS, store: { unreachable: "at times", lostAnswerShare: 0 } },
        ticketShare: 0,
    },
    {
        name: "no tickets, as before, one host dies",
        faults: { ...NO_FAULTS, store: { unreachable: "at times", lostAnswerShare: 0 } },
        ticketShare: 0,
        killAtMilliseconds: 20_000,
    },
];

function count(replies: readonly ReportedOutcome[], accept: (entry: ReportedOutcome) => boolean): number {
    return replies.filter(accept).length;
}

function isIndefinite({ outcome }: ReportedOutcome): boolean {
    return outcome.type === "refused" && outcome.ran === "may-have-run";
}

function runSeed(scenario: Scenario, seed: number): Figures {
    const fabric = createFabric({ seed, hosts: HOSTS, faults: scenario.faults });
    const tally = startCallers(fabric, { ...CALLERS, ticketShare: scenario.ticketShare });
    if (scenario.killAtMilliseconds !== undefined) {
        const spread = seed * KILL_SPREAD_STEP_MILLISECONDS % CALLERS.intervalMilliseconds;
        fabric.schedule.after(scenario.killAtMilliseconds + spread, () => fabric.kill(seed % HOSTS));
    }
    fabric.schedule.runUntil(fabric.schedule.now + RUN_MILLISECONDS);
    fabric.stopFaults();
    fabric.schedule.runUntil(fabric.schedule.now + END_MILLISECONDS);
    const { reportedOutcomes } = fabric.history;
    return {
        answered: count(reportedOutcomes, ({ outcome }) => outcome.type === "answered"),
        notRun: count(reportedOutcomes, ({ outcome }) => outcome.type === "refused" && outcome.ran === "not-run"),
        mayHaveRunInFlight: count(reportedOutcomes, entry => isIndefinite(entry) && entry.dispatched),
        mayHaveRunNothingInFlight: count(reportedOutcomes, entry => isIndefinite(entry) && !entry.dispatched),
        violations: findViolations(fabric.history).length,
        orders: CALLERS.orders,
        ordersAnswered: tally.answered,
        ordersIndefinite: tally.mayHaveRun,
    };
}

function add(left: Figures, right: Figures): Figures {
    const keys = Object.keys(left) as (keyof Figures)[];
    return Object.fromEntries(keys.map(key => [key, left[key] + right[key]])) as unknown as Figures;
}

function percent(part: number, whole: number): string {
    return `${(100 * part / whole).toFixed(2)} %`;
}

for (const scenario of SCENARIOS) {
    const figures = SEEDS.map(seed => runSeed(scenario, seed));
    const total = figures.reduce(add);
    const definite = total.answered + total.notRun;
    const replies = definite + total.mayHaveRunInFlight + total.mayHaveRunNothingInFlight;
    const shares = figures.map(({ answered, notRun, mayHaveRunInFlight, mayHaveRunNothingInFlight }) =>
        (answered + notRun) / (answered + notRun + mayHaveRunInFlight + mayHaveRunNothingInFlight)
    );
    console.log([
        scenario.name,
        `  ${replies} replies in ${SEEDS.length} seeds: definite ${percent(definite, replies)} `
        + `(worst seed ${percent(Math.min(...shares), 1)}), results ${total.answered}, not-run ${total.notRun}`,
        `  may-have-run: ${total.mayHaveRunInFlight} of orders passed on, `
        + `${total.mayHaveRunNothingInFlight} of orders never passed on; broken promises: ${total.violations}`,
        `  orders: ${total.ordersAnswered} of ${total.orders} answered in the end, ${total.ordersIndefinite} indefinite`,
    ].join("\n"));
}

const { microseconds, ownerBytes, witnessBytes, keyCharacters } = measureOrderCost(FABRIC_DEPLOYMENT);
console.log(
    `one order: ${microseconds.toFixed(1)} µs of owner and witness together, ${
        ownerBytes.toFixed(0)
    } bytes kept at the owner, `
        + `${witnessBytes.toFixed(0)} at the witness, for a key of ${keyCharacters} characters and a small result`,
);
