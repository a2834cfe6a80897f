/**
 * Demo: starts a whole site as separate processes on loopback, sends a short mixed load, and prints a summary.
 *
 * Run with `npm run demo`.
 *
 * @module
 */
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { type Observation, readAddresses, sendCall, sendChat } from "./load.js";
import { applyConfiguration, readJson, type Site, type SiteOptions, startSite, waitUntil } from "./sites.js";
import { renderSummary } from "./summary.js";

/** First-token target of the demo's models. */
const FIRST_TOKEN_TARGET_MILLISECONDS = 600;
const URGENT_REQUESTS = 60;
const PATIENT_REQUESTS = 12;
const ORDERS = 12;
const IDEMPOTENT_CALLS = 8;
const URGENT_MODELS = [
    "quote-writer",
    "quote-writer:bakery-chain",
    "spec-helper",
    "stock-helper",
    "dispatch-helper:night-shift",
];
const PROJECT_FOLDER = fileURLToPath(new URL(import.meta.url.endsWith(".js") ? "../.." : "..", import.meta.url));

const bagEngine = { memoryMegabytes: 40_000, slots: 8, checksFencing: true, loadMilliseconds: 300 };
const millEngine = { memoryMegabytes: 30_000, slots: 8, checksFencing: false, loadMilliseconds: 300 };

const SITE: SiteOptions = {
    template: join(PROJECT_FOLDER, "demo", "demo.template.jsonc"),
    engines: [
        ...[1, 2, 3].map(index => ({ name: `bag-llm-${index}`, options: bagEngine })),
        ...[1, 2].map(index => ({ name: `mill-ops-${index}`, options: millEngine })),
    ],
    plainServices: [{ name: "cutting-line", options: { runMilliseconds: 30 } }],
    hosts: [
        { name: "entry-1", zone: "west-1" },
        { name: "entry-2", zone: "west-2" },
        { name: "entry-3", zone: "west-3" },
        { name: "entry-4", zone: "west-1" },
    ],
    region: "west",
    weightStore: { loadsPerSecond: 20, concurrentLoads: 7 },
    settings: { addressKeepMilliseconds: 1000 },
};

async function allHostsAreAdvertised(site: Site): Promise<boolean> {
    const answers = await Promise.all(site.hosts.map(({ callersUrl }) => readAddresses(callersUrl, "west-1")));
    return answers.every(({ addresses }) => addresses.length === site.hosts.length);
}

async function allModelsAnswer(site: Site): Promise<boolean> {
    const hostUrl = site.hosts[0]?.callersUrl ?? "";
    const answers = await Promise.all(
        ["quote-writer", "spec-helper", "proof-digest", "stock-helper", "dispatch-helper"].map(model =>
            sendChat(hostUrl, { model, class: "urgent", prompt: "Are you there?" })
        ),
    );
    return answers.every(({ outcome }) => outcome === "answered");
}

async function sendRequests(site: Site): Promise<Observation[]> {
    const zones = ["west-1", "west-2", "west-3"];
    const addressesByZone = await Promise.all(zones.map(zone => readAddresses(site.hosts[0]?.callersUrl ?? "", zone)));
    const addressFor = (index: number) => {
        const address = addressesByZone[index % zones.length]?.addresses[0];
        if (address === undefined) {
            throw new Error("no host address is advertised for the zone");
        }
        return address;
    };
    const chats = Array.from({ length: URGENT_REQUESTS }, (_, index) => {
        const model = URGENT_MODELS[index % URGENT_MODELS.length] ?? "";
        return sendChat(addressFor(index).url, { model, class: "urgent", prompt: `Quote for customer ${index}` });
    });
    const patientChats = Array.from(
        { length: PATIENT_REQUESTS },
        (_, index) =>
            sendChat(addressFor(index).url, {
                model: "proof-digest",
                class: "patient",
                prompt: `Print-proof notes ${index}`,
            }),
    );
    const orders = Array.from({ length: ORDERS }, (_, index) => {
        const address = addressFor(index);
        const key = `${address.ticket}/reel-${index}`;
        return sendCall(address.url, {
            service: "cutting-line",
            call: "reel-cut",
            key,
            body: JSON.stringify({ reel: index }),
        });
    });
    const idempotentCalls = Array.from(
        { length: IDEMPOTENT_CALLS },
        (_, index) =>
            sendCall(addressFor(index).url, {
                service: "cutting-line",
                call: "stock-check",
                body: JSON.stringify({ reel: index }),
            }),
    );
    return await Promise.all([...chats, ...patientChats, ...orders, ...idempotentCalls]);
}

async function runDemo(): Promise<void> {
    console.log("starting stand-ins and hosts ...");
    const site = await startSite(SITE);
    try {
        console.log(`applying ${site.configurationFile} ...`);
        await applyConfiguration(site);
        await waitUntil(() => allHostsAreAdvertised(site), "every host is advertised");
        await waitUntil(() => allModelsAnswer(site), "every model answers");
        console.log("sending the load ...");
        const observations = await sendRequests(site);
        const statuses = await Promise.all(site.hosts.map(({ callersUrl }) => readJson(`${callersUrl}/v1/status`)));
        const plainServiceState = await readJson(`${site.plainServices.get("cutting-line")?.url ?? ""}/standin/state`);
        console.log(
            renderSummary({
                observations,
                statuses,
                plainServiceState,
                targetMilliseconds: FIRST_TOKEN_TARGET_MILLISECONDS,
            }),
        );
    }
    finally {
        await site.close();
    }
}

await runDemo();
