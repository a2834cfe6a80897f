/**
 * Settings of the hosts of a soak in the platform's format, and the command of the deploy file that runs them.
 *
 * @module
 */
import { existsSync, readFileSync } from "node:fs";
import { basename, join } from "node:path";

/** Host name of all routes. */
export const SITE_HOST = "ficu95.example";

/** Ports of each host, which has an address of its own. */
export const PORTS = { callers: 8149, readiness: 8141, control: 8144, directory: 8143 } as const;

/** Time from SIGTERM to SIGKILL. */
export const GRACE_MILLISECONDS = 8_000;

/** How long a leaving engine goes on. */
export const DRAIN_MILLISECONDS = 2_000;

/** What differs between the settings of hosts. */
export interface HostSettings {
    readonly name: string;
    readonly zone: string;
    readonly address: string;
    readonly storeAddress: string;
    readonly seeds: readonly string[];
    readonly memoryMegabytes: number;
    readonly linkMegabits: number;
}

const ZONES = ["casa-a", "casa-b", "casa-c"] as const;

/** Returns the zone of a host. */
export function zoneOf(hostIndex: number): string {
    return ZONES[hostIndex % ZONES.length] ?? ZONES[0];
}

/** Renders a settings file. */
export function renderSettings(settings: HostSettings): string {
    const { address, linkMegabits, memoryMegabytes, name, seeds, storeAddress, zone } = settings;
    return `nodeName=${name}
role=entry
machineClass=front
serves=front,control,directory
ip=${address}
zone=${zone}
region=ma-west
${ZONES.map(one => `zones.${one}=ma-west`).join("\n")}
listen.front=${address}:${PORTS.callers}
listen.ready=${address}:${PORTS.readiness}
listen.control=${address}:${PORTS.control}
listen.directory=${address}:${PORTS.directory}
internalPortRange=7380,7395
seeds=${seeds.map(seed => `${seed}:${PORTS.control}`).join(",")}
bootstrap=true
limits.cpuShare=0.675
limits.cores=1
limits.memoryMb=${memoryMegabytes}
limits.maxFds=4100
limits.linkMbps=${linkMegabits}.0
discovery=platform
entry=directory
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,platform
bounds.contactMs=3000
bounds.drainMs=${DRAIN_MILLISECONDS}
bounds.graceS=${GRACE_MILLISECONDS / 1_000}
bounds.configDeadlineMs=2000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.budgetExtra=58
bounds.leaseMs=3000
bounds.ceilingWindowS=5
bounds.ceilingOverage=1.1
bounds.ttl_max_s=5
platform.address=${storeAddress}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
`;
}

/**
 * Reads the arguments of `node` from the deploy file beside a build, or else from this project's.
 *
 * @param targetFolder Folder of the launcher.
 * @param memoryMegabytes Replaces the placeholder of the machine's memory.
 *
 * @example
 * ```ts
 * const child = spawn(process.execPath, readCommand("target", 350));
 * ```
 */
export function readCommand(targetFolder: string, memoryMegabytes: number): readonly string[] {
    const besideBuild = join(targetFolder, "..", "deploy", "system.toml");
    const text = readFileSync(existsSync(besideBuild) ? besideBuild : join("deploy", "system.toml"), "utf8");
    const [, command = ""] = /^run = "node (.*)"$/m.exec(text) ?? [];
    return command.replaceAll("{{limits.memoryMb}}", String(memoryMegabytes)).split(" ")
        .map(word => word.startsWith("target/") ? join(targetFolder, basename(word)) : word);
}
