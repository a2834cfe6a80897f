/**
 * Brings the planned troubles upon a deployment from outside.
 *
 * @module
 */
import { Agent } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { type StoreMode } from "../standins/platform/store.js";
import { sendToHost } from "./callers.js";
import { type SoakDeployment } from "./deployment.js";
import { type EngineCondition, type SoakEngine } from "./engines.js";
import { type SoakHost } from "./hostProcess.js";
import { type PlannedTrouble, type TroubleKind } from "./plan.js";
import { STORE } from "./records.js";
import { type SoakLog } from "./soakLog.js";

const MAXIMUM_SLOW_MILLISECONDS = 800;
const MAXIMUM_FURTHER_ROUTES = 400;
const MAXIMUM_BURST = 80;
const BURST_DEADLINE_MILLISECONDS = 8_000;
const LARGEST_BODY = Buffer.alloc(4_190_000, "x");
const LARGEST_ANSWER_BYTES = 7_500_000;
/** Part of the bursts whose bodies or answers have the largest size. */
const LARGEST_PART = 0.5;
/** Part of the bursts whose bodies are sent to their ends. */
const WHOLE_PART = 0.75;
const RESTART_MILLISECONDS = 500;
const EARLY_MILLISECONDS = 600;
const LINK_MEGABITS = 1_000;

/** Parts of a settings file that are there while it is being replaced: the whole, some of it, or no file. */
const FILE_PARTS = [1, 0.5, 0.9, 0] as const;

interface Stage {
    readonly deployment: SoakDeployment;
    readonly log: SoakLog;
    readonly trouble: PlannedTrouble;
}

function choose<T>(list: readonly T[], choice: number): T {
    const chosen = list[Math.floor(choice * list.length)];
    if (chosen === undefined) {
        throw new Error("nothing to choose from");
    }
    return chosen;
}

/** Ends processes of hosts, and counts as trouble of them until they are ready again. */
async function restart({ log, trouble }: Stage, hosts: readonly SoakHost[], end: "stop" | "kill"): Promise<void> {
    const endTrouble = log.beginTrouble(trouble.kind, hosts.map(({ name }) => name));
    await Promise.all(hosts.map(async host => {
        await host[end]();
        await host.awaitReady();
    }));
    endTrouble();
}

async function killMany(stage: Stage): Promise<void> {
    const { deployment: { hosts }, trouble: { amount, choice } } = stage;
    const count = Math.max(2, Math.ceil(amount * hosts.length));
    const first = Math.floor(choice * hosts.length);
    await restart(stage, [...hosts, ...hosts].slice(first, first + Math.min(count, hosts.length)), "kill");
}

async function restartInTurn(stage: Stage): Promise<void> {
    for (const host of stage.deployment.hosts) {
        await restart(stage, [host], "stop");
    }
}

async function freeze(host: SoakHost, { log, trouble }: Stage): Promise<void> {
    const endTrouble = log.beginTrouble(trouble.kind, [host.name]);
    host.signal("SIGSTOP");
    await delay(trouble.milliseconds);
    host.signal("SIGCONT");
    endTrouble();
}

/** Replaces a settings file, which is not whole for a moment, and tells the process both times. */
async function reload(host: SoakHost, { trouble: { amount, milliseconds } }: Stage): Promise<void> {
    host.changeSettings({ linkMegabits: LINK_MEGABITS + Math.floor(amount * LINK_MEGABITS) });
    host.writeSettings(choose(FILE_PARTS, amount));
    host.signal("SIGHUP");
    await delay(milliseconds / 4);
    host.writeSettings();
    host.signal("SIGHUP");
}

async function reloadAtStart(host: SoakHost, stage: Stage): Promise<void> {
    const isRestarted = restart(stage, [host], "kill");
    await delay(RESTART_MILLISECONDS + stage.trouble.amount * EARLY_MILLISECONDS);
    await reload(host, stage);
    await isRestarted;
}

async function setCondition(engine: SoakEngine, condition: EngineCondition, { log, trouble }: Stage): Promise<void> {
    const endTrouble = log.beginTrouble(trouble.kind, [engine.upstream.id]);
    engine.condition = condition;
    await delay(trouble.milliseconds);
    engine.condition = "sound";
    endTrouble();
}

async function pauseEngine({ upstream }: SoakEngine, { log, trouble }: Stage): Promise<void> {
    const endTrouble = log.beginTrouble(trouble.kind, [upstream.id]);
    upstream.pause(trouble.milliseconds);
    await delay(trouble.milliseconds);
    endTrouble();
}

async function crashEngine({ upstream }: SoakEngine, { log, trouble }: Stage): Promise<void> {
    const endTrouble = log.beginTrouble(trouble.kind, [upstream.id]);
    upstream.crash();
    await delay(trouble.milliseconds);
    endTrouble();
}

async function replaceEngine(engine: SoakEngine, { deployment, log, trouble }: Stage): Promise<void> {
    const endTrouble = log.beginTrouble(trouble.kind, [engine.upstream.id]);
    await deployment.engines.replace(engine);
    endTrouble();
}

async function setStoreMode(mode: StoreMode, { deployment: { store }, log, trouble }: Stage): Promise<void> {
    const endTrouble = log.beginTrouble(trouble.kind, [STORE]);
    store.mode = mode;
    await delay(trouble.milliseconds);
    store.mode = "up";
    endTrouble();
}

async function slowStore({ deployment: { store }, log, trouble }: Stage): Promise<void> {
    const endTrouble = log.beginTrouble(trouble.kind, [STORE]);
    store.delayMilliseconds = trouble.amount * MAXIMUM_SLOW_MILLISECONDS;
    await delay(trouble.milliseconds);
    store.delayMilliseconds = 0;
    endTrouble();
}

/**
 * Sends requests at once to one host, with bodies or answers of which half have the largest size. A quarter of the
 * bursts of bodies withholds the last byte of each.
 */
async function burst(
    { deployment: { hosts }, log, trouble: { amount, choice, kind, milliseconds } }: Stage,
): Promise<void> {
    const host = choose(hosts, choice);
    const endTrouble = log.beginTrouble(kind, []);
    const part = choice * hosts.length % 1;
    const size = part < LARGEST_PART ? 1 : part;
    const withheldBytes = part > WHOLE_PART ? 1 : 0;
    const callers = Array.from({ length: Math.ceil(amount * MAXIMUM_BURST) }, () => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        const shared = { agent, deadlineMilliseconds: BURST_DEADLINE_MILLISECONDS };
        const body = LARGEST_BODY.subarray(0, Math.floor(size * LARGEST_BODY.length));
        const path = `/reads/${Math.floor(size * LARGEST_ANSWER_BYTES)}`;
        const sent = kind === "large-bodies"
            ? sendToHost(log, host, { ...shared, kind: "order", body, withheldBytes })
            : sendToHost(log, host, { ...shared, kind: "read", path, unreadMilliseconds: milliseconds });
        return sent.finally(() => agent.destroy());
    });
    await Promise.all(callers);
    endTrouble();
}

/** Callers send requests and leave at once, or soon after. */
async function vanish({ deployment: { hosts }, log, trouble: { amount, choice, kind } }: Stage): Promise<void> {
    const host = choose(hosts, choice);
    const endTrouble = log.beginTrouble(kind, []);
    const callers = Array.from({ length: Math.ceil(amount * MAXIMUM_BURST) }, (_, index) => {
        const body = LARGEST_BODY.subarray(0, index % 2 * 1_000_000);
        return sendToHost(log, host, { kind: "order", body, leaveAfterMilliseconds: index });
    });
    await Promise.all(callers);
    endTrouble();
}

/** Brings a trouble upon a deployment; resolves when its effect has ended. */
export async function bringTrouble(deployment: SoakDeployment, log: SoakLog, trouble: PlannedTrouble): Promise<void> {
    const stage = { deployment, log, trouble };
    const host = choose(deployment.hosts, trouble.choice);
    const engine = choose(deployment.engines.all, trouble.choice);
    const actions: Readonly<Record<TroubleKind, () => Promise<void>>> = {
        "stop-host": () => restart(stage, [host], "stop"),
        "kill-host": () => restart(stage, [host], "kill"),
        "kill-many": () => killMany(stage),
        "freeze-host": () => freeze(host, stage),
        "reload": () => reload(host, stage),
        "reload-at-start": () => reloadAtStart(host, stage),
        "rolling-restart": () => restartInTurn(stage),
        "configure": () => {
            deployment.configure(Math.floor(trouble.amount * MAXIMUM_FURTHER_ROUTES));
            return Promise.resolve();
        },
        "engine-leaves": () => replaceEngine(engine, stage),
        "engine-silent": () => setCondition(engine, "silent", stage),
        "engine-resets": () => setCondition(engine, "resetting", stage),
        "engine-fails": () => setCondition(engine, "failing", stage),
        "engine-late": () => setCondition(engine, "late", stage),
        "engine-pauses": () => pauseEngine(engine, stage),
        "engine-crashes": () => crashEngine(engine, stage),
        "store-silent": () => setStoreMode("silent", stage),
        "store-refuses": () => setStoreMode("refusing", stage),
        "store-loses-answers": () => setStoreMode("losing-answers", stage),
        "store-slow": () => slowStore(stage),
        "large-bodies": () => burst(stage),
        "unread-answers": () => burst(stage),
        "callers-vanish": () => vanish(stage),
    };
    await actions[trouble.kind]();
}
