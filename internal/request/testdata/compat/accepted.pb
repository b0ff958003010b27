
entry-a.inc-1.2sacmechat"ask*key2prompt8BbodyH€€€€€ P‚€€€€ Xƒ€€€€€€€€`