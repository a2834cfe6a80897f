import eslint from "@eslint/js";
import typescriptEslint from "typescript-eslint";

export default typescriptEslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "src/generated/**", "platform/generated/**"] },
    eslint.configs.recommended,
    ...typescriptEslint.configs.strictTypeChecked,
    {
        languageOptions: {
            parserOptions: {
                projectService: { allowDefaultProject: ["eslint.config.mjs"] },
                tsconfigRootDir: import.meta.dirname,
            },
        },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "@typescript-eslint/restrict-template-expressions": ["error", { allowNumber: true, allowBoolean: true }],
            "@typescript-eslint/no-confusing-void-expression": ["error", { ignoreArrowShorthand: true }],
            "@typescript-eslint/no-floating-promises": [
                "error",
                {
                    allowForKnownSafeCalls: [{
                        from: "package",
                        package: "node:test",
                        name: ["test", "describe", "it"],
                    }],
                },
            ],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "typeLike", format: ["PascalCase"] },
            ],
            "no-restricted-syntax": [
                "error",
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
            ],
        },
    },
    {
        files: ["src/**", "platform/**"],
        // Texts that operators write and check list all their faults; tests, and traces of our own, are trusted.
        ignores: [
            "**/*.test.ts",
            "src/platform/parseDocument.ts",
            "src/configuration/parse.ts",
            "src/trace/**",
            "platform/settingsFile.ts",
        ],
        rules: {
            "no-restricted-syntax": [
                "error",
                { selector: "ExportDefaultDeclaration", message: "Use a named export." },
                {
                    selector: "CallExpression[callee.property.name='safeParse']",
                    message: "Use parseDocument, which stops at the first fault.",
                },
            ],
        },
    },
    {
        files: ["**/*.mjs"],
        extends: [typescriptEslint.configs.disableTypeChecked],
        rules: { "no-restricted-syntax": "off" },
    },
);
