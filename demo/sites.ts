/**
 * Starts a whole site on loopback: hosts, and stand-ins of the platform and of upstreams.
 *
 * @module
 */
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { findFreePorts } from "../standins/freePorts.js";
import { type StartedProcess, startProcess, stopProcesses, waitForPort } from "./processes.js";

const LOOPBACK = "127.0.0.1";
const READY_TIMEOUT_MILLISECONDS = 60_000;
const READY_POLL_MILLISECONDS = 100;

/** A stand-in process and its URL. */
export interface StandInProcess {
    readonly process: StartedProcess;
    readonly url: string;
}

/** A host process with its URLs. */
export interface HostProcess {
    readonly process: StartedProcess;
    readonly name: string;
    readonly zone: string;
    readonly callersUrl: string;
    readonly peersUrl: string;
    readonly settingsFile: string;
}

/** A running site. */
export interface Site {
    readonly keyValue: StandInProcess;
    readonly hostList: StandInProcess;
    readonly weightStore: StandInProcess;
    readonly engines: ReadonlyMap<string, StandInProcess>;
    readonly plainServices: ReadonlyMap<string, StandInProcess>;
    readonly hosts: readonly HostProcess[];
    /** Folder of the hosts' settings and of the deployment configuration. */
    readonly folder: string;
    /** File of the deployment configuration. */
    readonly configurationFile: string;
    /** Starts a new process of a host with the same name and addresses. */
    restartHost(name: string): Promise<HostProcess>;
    close(): Promise<void>;
}

/** An engine or plain service to start. */
export interface UpstreamToStart {
    readonly name: string;
    /** Options of its stand-in. */
    readonly options: Readonly<Record<string, unknown>>;
}

/** Options of `startSite`. */
export interface SiteOptions {
    /** Template of the deployment configuration; `{{NAME}}` stands for the URL of the upstream NAME. */
    readonly template: string;
    readonly engines: readonly UpstreamToStart[];
    readonly plainServices: readonly UpstreamToStart[];
    /** Name and availability zone of each host. */
    readonly hosts: readonly { readonly name: string; readonly zone: string; }[];
    /** Region of every host. */
    readonly region: string;
    /** Options of the weight store stand-in. */
    readonly weightStore: Readonly<Record<string, unknown>>;
    /** Settings that override the generated ones on all hosts. */
    readonly settings?: Readonly<Record<string, unknown>>;
}

function renderArguments(options: Readonly<Record<string, unknown>>): string[] {
    return Object.entries(options).flatMap((
        [name, value],
    ) => [`--${name}`, typeof value === "string" ? value : JSON.stringify(value)]);
}

async function startStandIn(
    name: string,
    file: string,
    options: Readonly<Record<string, unknown>>,
): Promise<StandInProcess> {
    const started = startProcess(name, { file: `standins/${file}`, arguments: renderArguments(options) });
    const port = await waitForPort(started);
    return { process: started, url: `http://${LOOPBACK}:${port}` };
}

async function startStandIns(file: string, list: readonly UpstreamToStart[]): Promise<Map<string, StandInProcess>> {
    const started = await Promise.all(list.map(({ name, options }) => startStandIn(name, file, { name, ...options })));
    return new Map(list.map(({ name }, index) => [name, started[index]] as [string, StandInProcess]));
}

/** Polls a condition until it holds, and throws once the time limit has passed. */
export async function waitUntil(condition: () => Promise<boolean>, description: string): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS;
    while (performance.now() < deadline) {
        if (await condition()) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, READY_POLL_MILLISECONDS));
    }
    throw new Error(`condition not met within ${READY_TIMEOUT_MILLISECONDS} ms: ${description}`);
}

/** Reads JSON from a URL. Returns `undefined` where it does not answer or the answer is not JSON. */
export async function readJson(url: string): Promise<unknown> {
    try {
        const answer = await request(url);
        return await answer.body.json();
    }
    catch {
        return undefined;
    }
}

async function writeSettings(folder: string, settings: { readonly host: string; }): Promise<string> {
    const file = join(folder, `${settings.host}.jsonc`);
    await writeFile(file, JSON.stringify(settings, undefined, 4));
    return file;
}

async function startHostProcess(name: string, settingsFile: string, callersUrl: string): Promise<StartedProcess> {
    const started = startProcess(name, { file: "bin/flamingospread", arguments: ["run", settingsFile] });
    await waitUntil(async () => await readJson(`${callersUrl}/v1/health`) !== undefined, `${name} answers`);
    return started;
}

/**
 * Starts a site. Writes its deployment configuration to a file, without applying it.
 *
 * @param options Upstreams, hosts and settings of the site.
 *
 * @example
 * ```ts
 * const site = await startSite(options);
 * await site.close();
 * ```
 */
export async function startSite(options: SiteOptions): Promise<Site> {
    const folder = await mkdtemp(join(tmpdir(), "flamingospread-"));
    const [keyValue, weightStore] = await Promise.all([
        startStandIn("key-value", "keyValue", {}),
        startStandIn("weight-store", "weightStore", options.weightStore),
    ]);
    const enginesWithStore = options.engines.map(({ name, options: engineOptions }) => ({
        name,
        options: { weightStore: weightStore.url, ...engineOptions },
    }));
    const [engines, plainServices] = await Promise.all([
        startStandIns("engine", enginesWithStore),
        startStandIns("plainService", options.plainServices),
    ]);
    const ports = await findFreePorts(2 * options.hosts.length);
    const listedHosts = options.hosts.map(({ name }, index) => ({
        host: name,
        peersUrl: `http://${LOOPBACK}:${ports[2 * index + 1]}`,
    }));
    const hostList = await startStandIn("host-list", "hostList", { hosts: { live: listedHosts } });

    const configurationFile = join(folder, "deployment.jsonc");
    const upstreams = [...engines, ...plainServices];
    const template = await readFile(options.template, "utf8");
    await writeFile(
        configurationFile,
        upstreams.reduce((text, [name, { url }]) => text.replaceAll(`{{${name}}}`, url), template),
    );

    const hosts = await Promise.all(options.hosts.map(async ({ name, zone }, index): Promise<HostProcess> => {
        const callers = { address: LOOPBACK, port: ports[2 * index] ?? 0 };
        const peers = { address: LOOPBACK, port: ports[2 * index + 1] ?? 0 };
        const platform = { keyValue: [keyValue.url], hostList: hostList.url };
        const settings = { host: name, zone, region: options.region, callers, peers, platform, ...options.settings };
        const settingsFile = await writeSettings(folder, settings);
        const callersUrl = `http://${LOOPBACK}:${callers.port}`;
        const process = await startHostProcess(name, settingsFile, callersUrl);
        return { process, name, zone, callersUrl, peersUrl: `http://${LOOPBACK}:${peers.port}`, settingsFile };
    }));

    async function restartHost(name: string): Promise<HostProcess> {
        const index = hosts.findIndex(host => host.name === name);
        const previous = hosts[index];
        if (previous === undefined) {
            throw new Error(`no host is named ${name}`);
        }
        const process = await startHostProcess(name, previous.settingsFile, previous.callersUrl);
        const restarted = { ...previous, process };
        hosts[index] = restarted;
        return restarted;
    }

    async function close(): Promise<void> {
        await stopProcesses(hosts.map(({ process }) => process));
        const standIns = [keyValue, hostList, weightStore, ...engines.values(), ...plainServices.values()];
        await stopProcesses(standIns.map(({ process }) => process));
        await rm(folder, { recursive: true, force: true });
    }

    return {
        keyValue,
        hostList,
        weightStore,
        engines,
        plainServices,
        hosts,
        folder,
        configurationFile,
        restartHost,
        close,
    };
}

/**
 * Applies a site's deployment configuration by the command line, as an operator does.
 *
 * @param site The site.
 * @throws Where the exit code of the command is not 0.
 *
 * @example
 * ```ts
 * await applyConfiguration(site);
 * ```
 */
export async function applyConfiguration(site: Site): Promise<void> {
    const command = startProcess("apply", {
        file: "bin/flamingospread",
        arguments: ["apply", site.configurationFile, "--store", site.keyValue.url],
    });
    const outcome = await command.ended;
    if (outcome !== 0) {
        throw new Error(`apply exited with ${outcome}: ${command.errorLines.join("\n")}`);
    }
}
