/**
 * Measures the processor time and memory of seven idle hosts in front of five engines.
 *
 * Run with `npm run build && node dist/measurements/rest.js`.
 *
 * @module
 */
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { applyConfiguration, type Site, startSite } from "../demo/sites.js";
import { BYTES_IN_MEGABYTE, type ProcessFigures, readFigures } from "./processFigures.js";

const HOSTS = 7;
const ZONES = 3;
const WARM_UP_MILLISECONDS = 20_000;
const MEASURED_MILLISECONDS = 20_000;
const PROJECT_FOLDER = fileURLToPath(new URL("../..", import.meta.url));

function wait(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function readAll(site: Site): Promise<ProcessFigures[]> {
    return Promise.all(site.hosts.map(({ callersUrl }) => readFigures(callersUrl)));
}

async function prepare(): Promise<Site> {
    const site = await startSite({
        template: join(PROJECT_FOLDER, "demo", "demo.template.jsonc"),
        engines: ["bag-llm-1", "bag-llm-2", "bag-llm-3", "mill-ops-1", "mill-ops-2"].map(name => ({
            name,
            options: { memoryMegabytes: name.startsWith("bag") ? 40_000 : 30_000 },
        })),
        plainServices: [{ name: "cutting-line", options: {} }],
        hosts: Array.from(
            { length: HOSTS },
            (_, index) => ({ name: `entry-${index + 1}`, zone: `west-${index % ZONES + 1}` }),
        ),
        region: "west",
        weightStore: { loadsPerSecond: 50, concurrentLoads: 7 },
        settings: { log: { level: "error" } },
    });
    await applyConfiguration(site);
    return site;
}

const site = await prepare();
try {
    await wait(WARM_UP_MILLISECONDS);
    const before = await readAll(site);
    await wait(MEASURED_MILLISECONDS);
    const after = await readAll(site);
    console.log("| host | processor, % of a core | heap, MB | resident, MB |\n|---|---|---|---|");
    for (const [index, figures] of after.entries()) {
        const usedMicroseconds = figures.processorMicroseconds - (before[index]?.processorMicroseconds ?? 0);
        const share = usedMicroseconds / (MEASURED_MILLISECONDS * 1000) * 100;
        const heap = figures.heapBytes / BYTES_IN_MEGABYTE;
        const resident = figures.residentBytes / BYTES_IN_MEGABYTE;
        console.log(
            `| ${site.hosts[index]?.name ?? ""} | ${share.toFixed(2)} | ${heap.toFixed(0)} | ${resident.toFixed(0)} |`,
        );
    }
}
finally {
    await site.close();
}
