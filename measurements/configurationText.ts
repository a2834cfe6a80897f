/**
 * Measures the size of the configuration and the time to parse and validate it, by numbers of models and engines.
 *
 * Run with `npm run build && node dist/measurements/configurationText.js`.
 *
 * @module
 */
import { encodeRecordText, parseDeployment } from "../src/configuration/index.js";

const SIZES = [15, 150, 600, 1200];
const ENGINES_PER_MODEL = 1300 / 1200;
const ADAPTERS_PER_MODEL = 3;
const RUNS = 9;

function createText(models: number): string {
    const zones = Array.from({ length: 9 }, (_, zone) => ({ name: `zone-${zone}`, region: `region-${zone % 3}` }));
    const engines = Array.from({ length: Math.ceil(models * ENGINES_PER_MODEL) }, (_, index) => ({
        name: `engine-${index}`,
        url: `http://10.${index >> 8}.0.${index & 255}:8000`,
        zone: `zone-${index % 9}`,
    }));
    const names = Array.from({ length: models }, (_, index) => `model-${index}`);
    return JSON.stringify(
        {
            deployment: "large",
            zones,
            weightStore: { loadsPerSecond: 10, concurrentLoads: 10 },
            pools: [{ name: "pool", checksFencing: true, memoryMegabytes: 80_000, slots: 16, engines }],
            models: names.map((name, index) => ({
                name,
                version: "1.0",
                megabytes: 8000 + (index * 1777) % 32_000,
                pools: ["pool"],
            })),
            adapters: names.flatMap(model =>
                Array.from({ length: ADAPTERS_PER_MODEL }, (_, index) => ({
                    name: `${model}-adapter-${index}`,
                    model,
                    megabytes: 100,
                }))
            ),
        },
        undefined,
        1,
    );
}

function measureMilliseconds(text: string): number {
    const times = Array.from({ length: RUNS }, () => {
        const startedAt = performance.now();
        parseDeployment(text, { fileName: "text" }).unwrap();
        return performance.now() - startedAt;
    });
    return times.sort((left, right) => left - right)[Math.floor(RUNS / 2)] ?? 0;
}

console.log("| models | engines | adapters | bytes | bytes in the record | median to read and check (ms) |");
console.log("| ---: | ---: | ---: | ---: | ---: | ---: |");
for (const models of SIZES) {
    const text = createText(models);
    const inRecord = encodeRecordText(text).text.length;
    const engines = Math.ceil(models * ENGINES_PER_MODEL);
    const cells = [models, engines, models * ADAPTERS_PER_MODEL, text.length, inRecord];
    console.log(`| ${cells.join(" | ")} | ${measureMilliseconds(text).toFixed(1)} |`);
}
